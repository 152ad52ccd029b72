import type { Milliseconds } from '@rattanreel/core';
import findCutRequests from './findCutRequests';
import findFirstStops from './findFirstStops';
import isDisturbed from './isDisturbed';
import type { CutRequest, DisturbanceReason, OperatorSignal, SoakRecord, Violation } from './types';

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

/** Time after the signal of a stop until which a request was sent whose cut may be excused. */
const EXCUSED_SENDING: Milliseconds = 3_000;
/** The last part of the grace period, in which a server may still be at work. */
const LAST_PART_OF_GRACE = 1 / 6;

/** Returns whether a server was at work on a request near the end of the grace period of its host. */
function isExcusedByWork(record: SoakRecord, { request, sentAt }: CutRequest): boolean {
  const { grace } = record.bounds;
  return findFirstStops(record, request.host).some(
    ({ at }) =>
      sentAt <= at + EXCUSED_SENDING &&
      record.runs.some(
        (run) =>
          run.id === request.id &&
          run.at <= at + grace &&
          run.endedAt !== undefined &&
          run.endedAt >= at + grace * (1 - LAST_PART_OF_GRACE),
      ),
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
 * response: each one around planned work on it, and more than a few otherwise. A stop excuses only those that
 * were sent early and on which a server was still at work near the end of the grace period; responses
 * that servers broke off and requests beyond their timeout are not counted.
 */
export default function findLostRequests(record: SoakRecord): readonly Violation[] {
  const cutRequests = findCutRequests(record);
  const aroundPlannedWork = cutRequests.flatMap((cut) => {
    const cause = record.signals.find(
      ({ host, signal, at }) => host === cut.request.host && isAround(record, cut, signal, at),
    );
    const { id, route, host } = cut.request;
    return cause !== undefined &&
      !isExcusedByWork(record, cut) &&
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
