import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import getIncarnationKey from '../getIncarnationKey';
import type { BackendServer, OccupiedSlot } from '../servers/types';
import type { InFlightReported, InFlightRequest } from '../types';

const LIFETIMES_BEFORE_LOST = 4;
const UNKNOWN_ROUTE = '';

function toOccupiedSlot(
  server: BackendServer,
  reported: InFlightRequest,
  report: InFlightReported,
  now: Milliseconds,
): OccupiedSlot {
  return {
    request: reported.request,
    from: report.from,
    backendServer: reported.backendServer,
    version: server.version,
    route: UNKNOWN_ROUTE,
    tier: reported.tier,
    promptTokens: reported.promptTokens,
    maximumOutputTokens: reported.maximumOutputTokens,
    reservedTokens: reported.promptTokens + reported.maximumOutputTokens,
    prefixHashes: [],
    grantedAt: now,
    prefillTokens: reported.prefillDone ? 0 : reported.promptTokens,
    prefillBacklogTokens: server.prefillTokens + reported.promptTokens,
    streamsAtGrant: server.inFlight.size + 1,
    expectedCachedTokens: 0,
    expectedFirstTokenAfter: 0,
    lateAt: Number.POSITIVE_INFINITY,
    overdueAt: Number.POSITIVE_INFINITY,
    streamTimeAtFirstToken: server.streamTime,
    firstTokenAt: reported.prefillDone ? now : undefined,
    grant: undefined,
  };
}

function addReportedSlot(
  state: SchedulerState,
  reported: InFlightRequest,
  report: InFlightReported,
  now: Milliseconds,
): void {
  const server = state.servers.get(reported.backendServer);
  const isKnown =
    state.slotTable.tryGet(reported.request) !== undefined ||
    state.finishedRequests.has(reported.request);
  if (server === undefined || isKnown) {
    return;
  }
  const queued = state.queue.tryGet(reported.request);
  if (queued !== undefined) {
    state.queue.remove(queued);
  }
  const deferred = state.deferredRefusals.tryGet(reported.request);
  if (deferred !== undefined) {
    state.deferredRefusals.remove(deferred);
  }
  state.slotTable.occupy(server, toOccupiedSlot(server, reported, report, now), now);
  if (!state.handover.isOver(now)) {
    server.streamLimit.raiseTo(server.inFlight.size - server.awaitingFirstToken.size);
  }
}

/**
 * Releases slots that the entry host no longer has, once no grant for them can still be on its way.
 */
function releaseLostSlots(
  state: SchedulerState,
  report: InFlightReported,
  now: Milliseconds,
): void {
  const reportedRequests = new Set(report.inFlight.map((request) => request.request));
  const before = now - LIFETIMES_BEFORE_LOST * state.policy.grantLifetime;
  state.slotTable.getSlotsOfHost(report.from).forEach((slot) => {
    if (!reportedRequests.has(slot.request) && slot.grantedAt < before) {
      state.slotTable.release(state.servers.get(slot.backendServer)!, slot, now);
    }
  });
}

/** Reconciles the slot table with an entry host's report of its requests in flight. */
export default function handleInFlightReported(
  state: SchedulerState,
  report: InFlightReported,
  now: Milliseconds,
): void {
  if (state.deadIncarnations.has(getIncarnationKey(report.from))) {
    return;
  }
  releaseLostSlots(state, report, now);
  report.inFlight.forEach((reported) => addReportedSlot(state, reported, report, now));
  state.handover.recordReport(report.from);
  grantQueued(state, now);
}
