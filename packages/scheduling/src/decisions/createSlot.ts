import type { Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import type { InFlight } from '../servers/types';
import type { Grant } from '../types';
import type { Chosen, SchedulerState } from './types';

const LATE_FACTOR = 2;
const LATE_SLACK_MILLISECONDS = 200;
const OVERDUE_FACTOR = 5;
const SHORTEST_OVERDUE_MILLISECONDS = 1_000;

/** The ledger's record of a slot that is being granted. */
export default function createSlot(
  state: SchedulerState,
  request: QueuedRequest,
  choice: Chosen,
  grant: Grant,
  now: Milliseconds,
): InFlight {
  const { asked } = request;
  const { server, expectation } = choice;
  const { speed } = server;
  const streams = server.inFlight.size + 1;
  const uncached = speed.firstTokenAfter(server.prefillTokens + asked.promptTokens);
  const lateAfter = LATE_SLACK_MILLISECONDS + LATE_FACTOR * uncached;
  const overdueAfter = Math.max(SHORTEST_OVERDUE_MILLISECONDS, OVERDUE_FACTOR * uncached);
  return {
    request: request.id,
    from: asked.from,
    backendServer: grant.backendServer,
    version: grant.version,
    route: asked.route,
    tier: asked.tier,
    promptTokens: asked.promptTokens,
    maximumOutputTokens: asked.maximumOutputTokens,
    reservedTokens: state.work.reservedTokens(asked),
    prefixHashes: asked.prefixHashes,
    grantedAt: now,
    prefillTokens: expectation.prefillTokens,
    prefillAhead: server.prefillTokens + expectation.prefillTokens,
    streamsAtGrant: streams,
    expectedCachedTokens: expectation.cachedTokens,
    expectedFirstTokenAfter: expectation.firstTokenAfter,
    lateAt: speed.isLearnt ? now + lateAfter : Number.POSITIVE_INFINITY,
    overdueAt: speed.isLearnt ? now + overdueAfter : Number.POSITIVE_INFINITY,
    streamTimeAtFirstToken: server.streamTime,
    firstTokenAt: undefined,
    grant,
  };
}
