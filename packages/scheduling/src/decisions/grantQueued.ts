import type { Milliseconds } from '@rattanreel/core';
import { Debug } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import type { BackendServer } from '../servers/types';
import type { Grant } from '../types';
import chooseBackendServer from './chooseBackendServer';
import createSlot from './createSlot';
import surveyServers from './surveyServers';
import tryGetRoomReason from './tryGetRoomReason';
import type { Chosen, SchedulerState, Survey } from './types';

const MOST_SET_ASIDE = 16;

function toGrant(
  state: SchedulerState,
  request: QueuedRequest,
  choice: Chosen,
  now: Milliseconds,
): Grant {
  return {
    kind: 'grant',
    request: request.id,
    to: request.asked.from,
    backendServer: choice.server.settings.id,
    version: choice.server.version,
    echo: request.asked.stamp,
    lifetime: state.policy.grantLifetime,
    queuedFor: now - request.enqueuedAt,
    expectedCachedTokens: choice.expectation.cachedTokens,
    expectedFirstTokenAfter: choice.expectation.firstTokenAfter,
    alternatives: choice.rejected,
  };
}

function assertMayTakeWork(server: BackendServer): void {
  const id = () => server.settings.id;
  const streams = server.inFlight.size;
  Debug.invariant(
    !server.settings.drained && !server.leaving,
    'grant-to-drained',
    () => `${id()} is drained or leaving`,
  );
  Debug.invariant(
    streams < server.limit.current,
    server.limit.isSlowStart ? 'slow-start-bound-exceeded' : 'stream-limit-exceeded',
    () => `${id()} holds ${streams} of ${server.limit.current} streams`,
  );
}

function grant(
  state: SchedulerState,
  request: QueuedRequest,
  choice: Chosen,
  now: Milliseconds,
): void {
  const { server } = choice;
  assertMayTakeWork(server);
  const effect = toGrant(state, request, choice, now);
  const slot = createSlot(state, request, choice, effect, now);
  state.queue.serve(request);
  state.ledger.hold(server, slot, now);
  state.shares.granted(server.version, request.cost);
  Debug.invariant(
    server.reservedTokens <= server.memoryTokens,
    'memory-overcommitted',
    () => `${server.settings.id} has ${server.reservedTokens} tokens reserved`,
  );
  state.effects.push(effect);
}

function hasRoom(survey: Survey, now: Milliseconds): boolean {
  return survey.open.some((server) => tryGetRoomReason(server, now) === undefined);
}

/** Grants queued requests in order of service for as long as a backend server has room for one. */
export default function grantQueued(state: SchedulerState, now: Milliseconds): void {
  if (state.queue.size === 0 || state.domainDrained || !state.handover.isOver(now)) {
    return;
  }
  const survey = surveyServers(state, now);
  if (survey.open.length === 0) {
    return;
  }
  const setAside: QueuedRequest[] = [];
  const reserved = new Set<BackendServer>();
  let request = state.queue.peek();
  while (request !== undefined && setAside.length < MOST_SET_ASIDE && hasRoom(survey, now)) {
    if (state.barrier.blockedUntil(request.asked.tier) > now) {
      break;
    }
    const choice = chooseBackendServer(state, request, survey, reserved, now);
    if (choice.kind === 'chosen') {
      grant(state, request, choice, now);
    } else {
      if (choice.reserve !== undefined) {
        reserved.add(choice.reserve);
      }
      state.queue.remove(request);
      setAside.push(request);
    }
    request = state.queue.peek();
  }
  setAside.forEach((held) => state.queue.add(held));
}
