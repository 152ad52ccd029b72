import type { CallerEnd, CutRequest, SentRequest, SoakRecord } from './types';

type Cut = CallerEnd & { readonly kind: 'cut'; readonly at: number };

/** Returns how far a host had accepted a request: passed it on, or held it beyond the slack. */
function tryGetAcceptance(record: SoakRecord, { id, at, timeout }: SentRequest, cut: Cut) {
  const held = Math.round(cut.at - (cut.reusedAt ?? cut.at));
  const left = `${Math.round(at + timeout - cut.at)} ms before its deadline`;
  if (record.runs.some((run) => run.id === id)) {
    return `passed on, held ${held} ms, ${left}`;
  }
  return held > record.bounds.lostSlack ? `held ${held} ms, ${left}` : undefined;
}

function isBrokenByServer(record: SoakRecord, { id }: SentRequest, cut: Cut): boolean {
  return record.runs
    .filter((run) => run.id === id)
    .some((run) =>
      record.serverBreaks.some(
        (each) =>
          each.server === run.server &&
          (each.id === undefined || each.id === id) &&
          each.at >= run.at &&
          each.at <= cut.at,
      ),
    );
}

/**
 * Finds requests that a host accepted and that ended with their connection, without a complete
 * response, before their timeout and not because a server broke off.
 */
export default function findCutRequests(record: SoakRecord): readonly CutRequest[] {
  return [...record.sent.values()].flatMap((request) => {
    const end = record.ends.get(request.id);
    if (
      end?.kind !== 'cut' ||
      end.at - request.at >= request.timeout ||
      isBrokenByServer(record, request, end)
    ) {
      return [];
    }
    const state = tryGetAcceptance(record, request, end);
    const sentAt = end.lastByteAt ?? request.at;
    return state === undefined ? [] : [{ request, sentAt, cutAt: end.at, state }];
  });
}
