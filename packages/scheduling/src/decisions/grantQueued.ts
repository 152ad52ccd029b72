import type { Milliseconds } from '@rattanreel/core';
import { Debug } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import type { BackendServer } from '../servers/types';
import type { Grant } from '../types';
import chooseBackendServer from './chooseBackendServer';
import createOccupiedSlot from './createOccupiedSlot';
import findAvailableServers from './findAvailableServers';
import tryGetCapacityRejection from './tryGetCapacityRejection';
import type { ChosenServer, SchedulerState, ServerAvailability } from './types';

const MAXIMUM_SKIPPED_REQUESTS = 16;

function toGrant(
  state: SchedulerState,
  request: QueuedRequest,
  choice: ChosenServer,
  now: Milliseconds,
): Grant {
  return {
    kind: 'grant',
    request: request.id,
    to: request.grantRequest.from,
    backendServer: choice.server.settings.id,
    version: choice.server.version,
    echo: request.grantRequest.stamp,
    lifetime: state.policy.grantLifetime,
    queuedFor: now - request.enqueuedAt,
    expectedCachedTokens: choice.estimate.cachedTokens,
    expectedFirstTokenAfter: choice.estimate.firstTokenAfter,
    alternatives: choice.rejected,
  };
}

function assertAcceptsGrant(server: BackendServer): void {
  const id = () => server.settings.id;
  const streams = server.inFlight.size;
  Debug.invariant(
    !server.settings.drained && !server.leaving,
    'grant-to-drained',
    () => `${id()} is drained or leaving`,
  );
  Debug.invariant(
    streams < server.streamLimit.current,
    server.streamLimit.isSlowStart ? 'slow-start-bound-exceeded' : 'stream-limit-exceeded',
    () => `${id()} holds ${streams} of ${server.streamLimit.current} streams`,
  );
}

function grant(
  state: SchedulerState,
  request: QueuedRequest,
  choice: ChosenServer,
  now: Milliseconds,
): void {
  const { server } = choice;
  assertAcceptsGrant(server);
  const effect = toGrant(state, request, choice, now);
  const slot = createOccupiedSlot(state, request, choice, effect, now);
  state.queue.dequeue(request);
  state.slotTable.occupy(server, slot, now);
  state.versionShares.recordGranted(server.version, request.cost);
  Debug.invariant(
    server.reservedTokens <= server.memoryTokens,
    'memory-overcommitted',
    () => `${server.settings.id} has ${server.reservedTokens} tokens reserved`,
  );
  state.effects.push(effect);
}

function hasFreeSlot(availability: ServerAvailability, now: Milliseconds): boolean {
  return availability.available.some(
    (server) => tryGetCapacityRejection(server, now) === undefined,
  );
}

/**
 * Grants queued requests in service order while a backend server has a free slot. A request for
 * which there is no suitable backend server is skipped and stays queued.
 */
export default function grantQueued(state: SchedulerState, now: Milliseconds): void {
  if (state.queue.size === 0 || state.domainDrained || !state.handover.isOver(now)) {
    return;
  }
  const availability = findAvailableServers(state, now);
  if (availability.available.length === 0) {
    return;
  }
  const skipped: QueuedRequest[] = [];
  const reservedServers = new Set<BackendServer>();
  let request = state.queue.peek();
  while (
    request !== undefined &&
    skipped.length < MAXIMUM_SKIPPED_REQUESTS &&
    hasFreeSlot(availability, now)
  ) {
    if (state.refusalBarrier.getBlockedUntil(request.grantRequest.tier) > now) {
      break;
    }
    const choice = chooseBackendServer(state, request, availability, reservedServers, now);
    if (choice.kind === 'chosen') {
      grant(state, request, choice, now);
    } else {
      if (choice.serverToReserve !== undefined) {
        reservedServers.add(choice.serverToReserve);
      }
      state.queue.remove(request);
      skipped.push(request);
    }
    request = state.queue.peek();
  }
  skipped.forEach((skippedRequest) => state.queue.add(skippedRequest));
}
