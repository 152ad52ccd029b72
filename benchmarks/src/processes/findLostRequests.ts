import type { Milliseconds } from '@rattanreel/core';
import type {
  CallerEnd,
  DisturbanceReason,
  OperatorSignal,
  SentRequest,
  SoakRecord,
  Violation,
} from './types';

/** Number of requests that hosts may cut without a cause. */
const MAXIMUM_CUT_REQUESTS = 3;
/** Time after the grace period of a stop for which its cuts count. */
const AFTER_GRACE: Milliseconds = 1_000;

/** Disruptions of a host itself, which planned work and faults of the store are not. */
const unplannedReasons: ReadonlySet<DisturbanceReason> = new Set([
  'hostKilled',
  'hostPaused',
  'storeLinkCut',
  'storeLinkReset',
]);

interface CutRequest {
  readonly request: SentRequest;
  readonly cutAt: Milliseconds;
  readonly state: string;
}

type Cut = CallerEnd & { readonly kind: 'cut'; readonly at: Milliseconds };

/** Returns how far a host had accepted a request: passed it on, or held it beyond the slack. */
function tryGetAcceptance(record: SoakRecord, { id }: SentRequest, cut: Cut): string | undefined {
  const held = Math.round(cut.at - (cut.reusedAt ?? cut.at));
  if (record.runs.some((run) => run.id === id)) {
    return `passed on, held ${held} ms`;
  }
  return held > record.bounds.lostSlack ? `held ${held} ms` : undefined;
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

function findCutRequests(record: SoakRecord): readonly CutRequest[] {
  return [...record.sent.values()].flatMap((request) => {
    const end = record.ends.get(request.id);
    if (
      end?.kind !== 'cut' ||
      end.at - request.at >= record.bounds.timeout ||
      isBrokenByServer(record, request, end)
    ) {
      return [];
    }
    const state = tryGetAcceptance(record, request, end);
    return state === undefined ? [] : [{ request, cutAt: end.at, state }];
  });
}

/** Returns whether a disturbance from the stability window before a request until its end counts. */
function isDisturbed(
  record: SoakRecord,
  { request, cutAt }: CutRequest,
  counts: (reason: DisturbanceReason) => boolean,
): boolean {
  return record.disturbances.some(
    (each) =>
      counts(each.reason) &&
      (each.host === 'all' || each.host === request.host) &&
      each.from <= cutAt &&
      each.to >= request.at - record.bounds.stabilityWindow,
  );
}

function isAround(
  { bounds }: SoakRecord,
  { request, cutAt }: CutRequest,
  signal: OperatorSignal,
  at: Milliseconds,
): boolean {
  switch (signal) {
    case 'SIGTERM':
    case 'SIGINT':
    case 'SIGQUIT':
      return cutAt >= at && cutAt <= at + bounds.grace + AFTER_GRACE;
    case 'SIGHUP':
    case 'SIGUSR2':
      return cutAt >= at && request.at <= at + bounds.apply;
    default:
      return signal satisfies never;
  }
}

/**
 * Finds requests that a host accepted and that ended with their connection, without a complete
 * response: each one around planned work on it, which excuses none, and more than a few otherwise.
 * Responses that servers broke off and requests beyond their timeout are not counted.
 */
export default function findLostRequests(record: SoakRecord): readonly Violation[] {
  const cutRequests = findCutRequests(record);
  const aroundPlannedWork = cutRequests.flatMap((cut) => {
    const cause = record.signals.find(
      ({ host, signal, at }) => host === cut.request.host && isAround(record, cut, signal, at),
    );
    const { id, route, host } = cut.request;
    return cause !== undefined &&
      !isDisturbed(record, cut, (reason) => unplannedReasons.has(reason))
      ? [
          {
            promise: 'lost',
            detail: `${route} ${id}: ${cut.state}, cut at ${cut.cutAt}, ${cause.signal} of ${host} at ${cause.at}`,
          },
        ]
      : [];
  });
  const withoutCause = cutRequests.filter((cut) => !isDisturbed(record, cut, () => true));
  return withoutCause.length > MAXIMUM_CUT_REQUESTS
    ? [
        ...aroundPlannedWork,
        { promise: 'lost', detail: withoutCause.map(({ request }) => request.id).join(', ') },
      ]
    : aroundPlannedWork;
}
