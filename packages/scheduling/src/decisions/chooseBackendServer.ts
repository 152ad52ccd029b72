import type { Milliseconds } from '@rattanreel/core';
import isTrusted from '../servers/isTrusted';
import type { BackendServer } from '../servers/types';
import type { QueuedRequest } from '../queue/types';
import type { RejectedAlternative, RejectionReason } from '../types';
import expectCourse from './expectCourse';
import getNeededMemory from './getNeededMemory';
import tryGetRoomReason from './tryGetRoomReason';
import type { Choice, Expectation, SchedulerState, Survey } from './types';

const ALTERNATIVES_TOLD = 8;
const FAILURE_PENALTY = 4;
const FIRST_TOKEN_MARGIN = 1.3;
const NO_CREDIT_PENALTY = 2;

interface Candidate {
  readonly server: BackendServer;
  readonly expectation: Expectation;
  readonly score: number;
}

function isTooSlow(
  server: BackendServer,
  request: QueuedRequest,
  expectation: Expectation,
  now: Milliseconds,
): boolean {
  return (
    isTrusted(server, now) &&
    (now + expectation.firstTokenAfter * FIRST_TOKEN_MARGIN > request.firstTokenDueAt ||
      now + expectation.finishAfter > request.dueAt)
  );
}

function scoreOf(state: SchedulerState, server: BackendServer, expectation: Expectation): number {
  const failures = 1 + FAILURE_PENALTY * server.health.failureShare;
  const credit = state.shares.creditOf(server.version) > 0 ? 1 : NO_CREDIT_PENALTY;
  return expectation.finishAfter * failures * credit;
}

/**
 * Chooses the backend server at which a request is expected to finish first, among those of the survey that
 * have room and can answer in time. `reserved` holds backend servers kept free for requests ahead in the order.
 */
export default function chooseBackendServer(
  state: SchedulerState,
  request: QueuedRequest,
  survey: Survey,
  reserved: ReadonlySet<BackendServer>,
  now: Milliseconds,
): Choice {
  const rejected: RejectedAlternative[] = [...survey.closed];
  let best: Candidate | undefined;
  let reserve: BackendServer | undefined;

  function reject(server: BackendServer, reason: RejectionReason): void {
    if (rejected.length < ALTERNATIVES_TOLD) {
      rejected.push({ backendServer: server.settings.id, reason });
    }
  }

  function tryGetReason(server: BackendServer): RejectionReason | undefined {
    const reason = tryGetRoomReason(server, now);
    if (reason !== undefined) {
      return reason;
    }
    if (!state.shares.isAllowed(server.version)) {
      return 'versionShare';
    }
    if (reserved.has(server)) {
      return 'limit';
    }
    const free = server.memoryTokens - server.reservedTokens;
    return free < getNeededMemory(state, request.asked, server) ? 'memory' : undefined;
  }

  function keepForLarge(server: BackendServer): void {
    const free = server.memoryTokens - server.reservedTokens;
    const heldFree = reserve === undefined ? -1 : reserve.memoryTokens - reserve.reservedTokens;
    const fits = server.memoryTokens >= getNeededMemory(state, request.asked, server);
    if (fits && free > heldFree) {
      reserve = server;
    }
  }

  function consider(server: BackendServer): void {
    const expectation = expectCourse(state, server, request);
    if (isTooSlow(server, request, expectation, now)) {
      reject(server, 'tooSlow');
      return;
    }
    const score = scoreOf(state, server, expectation);
    if (best !== undefined && score >= best.score) {
      reject(server, 'worseEstimate');
      return;
    }
    if (best !== undefined) {
      reject(best.server, 'worseEstimate');
    }
    best = { server, expectation, score };
  }

  for (const server of survey.open) {
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
