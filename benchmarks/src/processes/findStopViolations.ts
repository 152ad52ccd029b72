import type { Milliseconds } from '@rattanreel/core';
import findCutRequests from './findCutRequests';
import findFirstStops from './findFirstStops';
import isDisturbed from './isDisturbed';
import type { SentRequest, SentSignal, SoakRecord, Violation } from './types';

const HTTP_SERVICE_UNAVAILABLE = 503;
/** Time after the grace period of a stop for which its cuts count. */
const AFTER_GRACE: Milliseconds = 1_000;

/**
 * Finds the stop of a host that a request was sent after, unless to the next process: after the signal
 * and the line with which the process says that it has learnt of it.
 */
function tryGetStopBefore(
  record: SoakRecord,
  request: SentRequest,
  sentAt: Milliseconds,
): SentSignal | undefined {
  const { host, connectedAt = request.at } = request;
  return findFirstStops(record, host).find(
    ({ at, handledAt = at }) =>
      sentAt > handledAt &&
      sentAt <= at + record.bounds.grace + AFTER_GRACE &&
      !record.disturbances.some(
        (each) =>
          each.reason === 'started' &&
          each.host === host &&
          each.from > at &&
          each.from <= connectedAt,
      ),
  );
}

/**
 * Finds requests that were sent to a host after the signal of its stop, reached a server, and were
 * cut by its end. Only servers, deadlines and kills excuse them.
 */
function findCutsAfterStop(record: SoakRecord): readonly Violation[] {
  return findCutRequests(record).flatMap((cut) => {
    const { request, sentAt, cutAt, state } = cut;
    const stop = tryGetStopBefore(record, request, sentAt);
    const { id, route, host } = request;
    const hasReachedServer = record.arrivals.some((arrival) => arrival.id === id);
    return stop !== undefined &&
      hasReachedServer &&
      cutAt <= stop.at + record.bounds.grace + AFTER_GRACE &&
      // A process that is paused at the end of its grace period is killed.
      !isDisturbed(record, cut, (reason) => reason === 'hostKilled' || reason === 'hostPaused')
      ? [
          {
            promise: 'cutAfterStop',
            detail: `${route} ${id} at ${host}: sent ${Math.round(sentAt - stop.at)} ms after ${stop.signal}, cut after ${Math.round(cutAt - stop.at)} ms, ${state}`,
          },
        ]
      : [];
  });
}

/**
 * Finds refusals of requests that were sent to a host after the signal of its stop, which leave their
 * connection open or whose request has reached a server. A request that ends before its host may be
 * turned away by a server.
 */
function findWrongRefusals(record: SoakRecord): readonly Violation[] {
  return [...record.sent.values()].flatMap((request) => {
    const { id, route, host } = request;
    const end = record.ends.get(id);
    if (end?.kind !== 'answered' || end.status !== HTTP_SERVICE_UNAVAILABLE) {
      return [];
    }
    const sentAt = end.lastByteAt ?? request.at;
    const stop = tryGetStopBefore(record, request, sentAt);
    if (stop === undefined) {
      return [];
    }
    const mayOutlastHost = request.at + request.timeout > stop.at + record.bounds.grace;
    const reached = mayOutlastHost ? record.arrivals : record.runs;
    const detail = `${route} ${id} at ${host}: sent ${Math.round(sentAt - stop.at)} ms after ${stop.signal}`;
    return [
      ...(end.closes ? [] : [{ promise: 'refusalCloses', detail }]),
      ...(reached.some((each) => each.id === id) ? [{ promise: 'refusedUnsent', detail }] : []),
    ];
  });
}

/** Finds violations of the guarantees for what is sent to a host after the signal of its stop. */
export default function findStopViolations(record: SoakRecord): readonly Violation[] {
  return [...findCutsAfterStop(record), ...findWrongRefusals(record)];
}
