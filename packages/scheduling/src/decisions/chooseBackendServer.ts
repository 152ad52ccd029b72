import type { Milliseconds } from '@rattanreel/core';
import isSpeedReliable from '../servers/isSpeedReliable';
import type { BackendServer } from '../servers/types';
import type { QueuedRequest } from '../queue/types';
import type { RejectedAlternative, RejectionReason } from '../types';
import estimateCompletion from './estimateCompletion';
import getNeededMemoryTokens from './getNeededMemoryTokens';
import isUsable from './isUsable';
import tryGetCapacityRejection from './tryGetCapacityRejection';
import type { ServerChoice, CompletionEstimate, SchedulerState, ServerAvailability } from './types';

const MAXIMUM_ALTERNATIVES = 8;
const FAILURE_PENALTY = 4;
const FIRST_TOKEN_MARGIN_FACTOR = 1.3;
const NO_CREDIT_PENALTY_FACTOR = 2;

interface Candidate {
  readonly server: BackendServer;
  readonly estimate: CompletionEstimate;
  readonly score: number;
}

function isTooSlow(
  server: BackendServer,
  request: QueuedRequest,
  estimate: CompletionEstimate,
  now: Milliseconds,
): boolean {
  return (
    isSpeedReliable(server, now) &&
    (now + estimate.firstTokenAfter * FIRST_TOKEN_MARGIN_FACTOR > request.firstTokenDueAt ||
      now + estimate.finishAfter > request.dueAt)
  );
}

function getScore(
  state: SchedulerState,
  server: BackendServer,
  estimate: CompletionEstimate,
): number {
  const failurePenalty = 1 + FAILURE_PENALTY * server.health.failureShare;
  const creditPenalty =
    state.versionShares.getCredit(server.version) > 0 ? 1 : NO_CREDIT_PENALTY_FACTOR;
  return estimate.finishAfter * failurePenalty * creditPenalty;
}

/**
 * Chooses the backend server at which a request is expected to finish first, among the available
 * ones that have capacity for it and can answer in time. Failures and a version without credit
 * count against a backend server; one to which the request could not be connected is chosen only if
 * no other may serve it. `reservedServers` are kept free for requests earlier in service
 * order.
 */
export default function chooseBackendServer(
  state: SchedulerState,
  request: QueuedRequest,
  availability: ServerAvailability,
  reservedServers: ReadonlySet<BackendServer>,
  now: Milliseconds,
): ServerChoice {
  const rejected: RejectedAlternative[] = [...availability.unavailable];
  let best: Candidate | undefined;
  let serverToReserve: BackendServer | undefined;

  function reject(server: BackendServer, reason: RejectionReason): void {
    if (rejected.length < MAXIMUM_ALTERNATIVES) {
      rejected.push({ backendServer: server.settings.id, reason });
    }
  }

  const unconnected = state.unconnected.get(request.id);
  const mustAvoidUnconnected =
    unconnected !== undefined &&
    [...state.servers.values()].some(
      (server) =>
        !unconnected.has(server) &&
        isUsable(state, server) &&
        server.memoryTokens >= getNeededMemoryTokens(state, request.grantRequest, server),
    );

  function tryGetRejection(server: BackendServer): RejectionReason | undefined {
    const reason = tryGetCapacityRejection(server, now);
    if (reason !== undefined) {
      return reason;
    }
    if (!state.versionShares.isAllowed(server.version)) {
      return 'versionShare';
    }
    if (mustAvoidUnconnected && unconnected.has(server)) {
      return 'notConnected';
    }
    if (reservedServers.has(server)) {
      return 'limit';
    }
    const freeTokens = server.memoryTokens - server.reservedTokens;
    return freeTokens < getNeededMemoryTokens(state, request.grantRequest, server)
      ? 'memory'
      : undefined;
  }

  function updateServerToReserve(server: BackendServer): void {
    const freeTokens = server.memoryTokens - server.reservedTokens;
    const reserveFreeTokens =
      serverToReserve === undefined
        ? -1
        : serverToReserve.memoryTokens - serverToReserve.reservedTokens;
    const fits = server.memoryTokens >= getNeededMemoryTokens(state, request.grantRequest, server);
    if (fits && freeTokens > reserveFreeTokens) {
      serverToReserve = server;
    }
  }

  function consider(server: BackendServer): void {
    const estimate = estimateCompletion(state, server, request);
    if (isTooSlow(server, request, estimate, now)) {
      reject(server, 'tooSlow');
      return;
    }
    const score = getScore(state, server, estimate);
    if (best !== undefined && score >= best.score) {
      reject(server, 'worseEstimate');
      return;
    }
    if (best !== undefined) {
      reject(best.server, 'worseEstimate');
    }
    best = { server, estimate, score };
  }

  for (const server of availability.available) {
    const reason = tryGetRejection(server);
    if (reason === undefined) {
      consider(server);
    } else {
      if (reason === 'memory') {
        updateServerToReserve(server);
      }
      reject(server, reason);
    }
  }
  if (best === undefined) {
    return { kind: 'none', serverToReserve };
  }
  return { kind: 'chosen', server: best.server, estimate: best.estimate, rejected };
}
