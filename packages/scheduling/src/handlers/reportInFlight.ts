import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import getIncarnationKey from '../getIncarnationKey';
import type { BackendServer, InFlight } from '../servers/types';
import type { InFlightReported, InFlightRequest } from '../types';

const LIFETIMES_BEFORE_LOST = 4;
const UNKNOWN_ROUTE = '';

function toSlot(
  server: BackendServer,
  told: InFlightRequest,
  report: InFlightReported,
  now: Milliseconds,
): InFlight {
  return {
    request: told.request,
    from: report.from,
    backendServer: told.backendServer,
    version: server.version,
    route: UNKNOWN_ROUTE,
    tier: told.tier,
    promptTokens: told.promptTokens,
    maximumOutputTokens: told.maximumOutputTokens,
    reservedTokens: told.promptTokens + told.maximumOutputTokens,
    prefixHashes: [],
    grantedAt: now,
    prefillTokens: told.prefillDone ? 0 : told.promptTokens,
    prefillAhead: server.prefillTokens + told.promptTokens,
    streamsAtGrant: server.inFlight.size + 1,
    expectedCachedTokens: 0,
    expectedFirstTokenAfter: 0,
    lateAt: Number.POSITIVE_INFINITY,
    overdueAt: Number.POSITIVE_INFINITY,
    streamTimeAtFirstToken: server.streamTime,
    firstTokenAt: told.prefillDone ? now : undefined,
    grant: undefined,
  };
}

function adopt(
  state: SchedulerState,
  told: InFlightRequest,
  report: InFlightReported,
  now: Milliseconds,
): void {
  const server = state.servers.get(told.backendServer);
  const isKnown =
    state.ledger.tryGet(told.request) !== undefined || state.finished.has(told.request);
  if (server === undefined || isKnown) {
    return;
  }
  const queued = state.queue.tryGet(told.request);
  if (queued !== undefined) {
    state.queue.remove(queued);
  }
  const deferred = state.deferred.tryGet(told.request);
  if (deferred !== undefined) {
    state.deferred.remove(deferred);
  }
  state.ledger.hold(server, toSlot(server, told, report, now), now);
  if (!state.handover.isOver(now)) {
    server.limit.admitKnown(server.inFlight.size - server.pending.size);
  }
}

/** Frees slots that the entry host no longer has, once no grant for them can still be under way. */
function freeLost(state: SchedulerState, report: InFlightReported, now: Milliseconds): void {
  const told = new Set(report.inFlight.map((request) => request.request));
  const before = now - LIFETIMES_BEFORE_LOST * state.policy.grantLifetime;
  state.ledger.slotsOf(report.from).forEach((slot) => {
    if (!told.has(slot.request) && slot.grantedAt < before) {
      state.ledger.free(state.servers.get(slot.backendServer)!, slot, now);
    }
  });
}

/** Reconciles the ledger with an entry host's own account of what it has in hand. */
export default function reportInFlight(
  state: SchedulerState,
  report: InFlightReported,
  now: Milliseconds,
): void {
  if (state.dead.has(getIncarnationKey(report.from))) {
    return;
  }
  freeLost(state, report, now);
  report.inFlight.forEach((told) => adopt(state, told, report, now));
  state.handover.reported(report.from);
  grantQueued(state, now);
}
