import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from '../servers/types';
import type { QueuedRequest } from '../queue/types';
import type { RejectedAlternative, RejectionReason } from '../types';
import type { Choice, Expectation, SchedulerState } from './types';

const ALTERNATIVES_TOLD = 8;
const PREFILL_WINDOW_MILLISECONDS = 400;
const FAILURE_PENALTY = 4;

interface Candidate {
  readonly server: BackendServer;
  readonly expectation: Expectation;
  readonly score: number;
}

function expect(state: SchedulerState, server: BackendServer, request: QueuedRequest): Expectation {
  const { asked } = request;
  const cachedTokens = server.prefixes.expectedTokens(asked.prefixHashes, asked.promptTokens);
  const prefillTokens = Math.max(1, asked.promptTokens - cachedTokens);
  const streams = server.inFlight.size + 1;
  const { speed } = server;
  const firstTokenAfter = speed.firstTokenAfter(server.prefillTokens + prefillTokens, streams);
  const output = state.work.expectedOutputTokens(asked.route, asked.maximumOutputTokens);
  const finishAfter = firstTokenAfter + (output - 1) * speed.tokenTime(streams);
  return { cachedTokens, prefillTokens, firstTokenAfter, finishAfter };
}

function tryGetStandingReason(server: BackendServer): RejectionReason | undefined {
  if (server.settings.drained) {
    return 'drained';
  }
  if (server.leaving) {
    return 'leaving';
  }
  if (!server.ready) {
    return 'notReady';
  }
  return server.standing === 'ejected' ? 'ejected' : undefined;
}

function tryGetRoomReason(server: BackendServer): RejectionReason | undefined {
  const streams = server.inFlight.size + server.unknownStreams;
  if (server.standing === 'probing' && streams > 0) {
    return 'ejected';
  }
  if (streams >= server.limit.current) {
    return server.limit.isSlowStart ? 'slowStart' : 'limit';
  }
  const pending = server.speed.firstTokenAfter(server.prefillTokens, 0);
  return server.prefillTokens > 0 && pending > PREFILL_WINDOW_MILLISECONDS ? 'limit' : undefined;
}

function isTooSlow(
  server: BackendServer,
  request: QueuedRequest,
  expectation: Expectation,
  now: Milliseconds,
): boolean {
  return (
    server.speed.isLearnt &&
    (now + expectation.firstTokenAfter > request.firstTokenDueAt ||
      now + expectation.finishAfter > request.dueAt)
  );
}

/**
 * Chooses the backend server at which a request is expected to finish first, among those that have room and
 * can answer in time. `reserved` holds backend servers kept free for requests ahead in the order.
 */
export default function chooseBackendServer(
  state: SchedulerState,
  request: QueuedRequest,
  reserved: ReadonlySet<BackendServer>,
  now: Milliseconds,
): Choice {
  const needed = request.asked.promptTokens + request.asked.maximumOutputTokens;
  const rejected: RejectedAlternative[] = [];
  let best: Candidate | undefined;
  let reserve: BackendServer | undefined;

  function reject(server: BackendServer, reason: RejectionReason): void {
    if (rejected.length < ALTERNATIVES_TOLD) {
      rejected.push({ backendServer: server.settings.id, reason });
    }
  }

  function tryGetReason(server: BackendServer): RejectionReason | undefined {
    const reason = tryGetStandingReason(server) ?? tryGetRoomReason(server);
    if (reason !== undefined) {
      return reason;
    }
    if (!state.shares.isAllowed(server.version)) {
      return 'versionShare';
    }
    if (reserved.has(server)) {
      return 'limit';
    }
    return server.memoryTokens - server.reservedTokens < needed ? 'memory' : undefined;
  }

  function keepForLarge(server: BackendServer): void {
    const free = server.memoryTokens - server.reservedTokens;
    const heldFree = reserve === undefined ? -1 : reserve.memoryTokens - reserve.reservedTokens;
    if (server.memoryTokens >= needed && free > heldFree) {
      reserve = server;
    }
  }

  function consider(server: BackendServer): void {
    const expectation = expect(state, server, request);
    if (isTooSlow(server, request, expectation, now)) {
      reject(server, 'tooSlow');
      return;
    }
    const credit = state.shares.creditOf(server.version);
    const penalty = 1 + FAILURE_PENALTY * server.health.failureShare;
    const score = expectation.finishAfter * penalty * (credit > 0 ? 1 : 2);
    if (best === undefined || score < best.score) {
      if (best !== undefined) {
        reject(best.server, 'worseEstimate');
      }
      best = { server, expectation, score };
    } else {
      reject(server, 'worseEstimate');
    }
  }

  for (const server of state.servers.values()) {
    const reason = tryGetReason(server);
    if (reason === undefined) {
      consider(server);
    } else {
      if (reason === 'memory') {
        keepForLarge(server);
      }
      reject(server, reason);
    }
  }
  if (best === undefined) {
    return { kind: 'none', reserve };
  }
  return { kind: 'chosen', server: best.server, expectation: best.expectation, rejected };
}
