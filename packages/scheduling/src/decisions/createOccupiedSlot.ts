import type { Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import type { OccupiedSlot } from '../servers/types';
import type { Grant } from '../types';
import type { ChosenServer, SchedulerState } from './types';

const LATE_FACTOR = 2;
const LATE_MARGIN_MILLISECONDS = 200;
const OVERDUE_FACTOR = 5;
const MINIMUM_OVERDUE_MILLISECONDS = 1_000;

/** Creates the slot table's record of a slot that is being granted. */
export default function createOccupiedSlot(
  state: SchedulerState,
  request: QueuedRequest,
  choice: ChosenServer,
  grant: Grant,
  now: Milliseconds,
): OccupiedSlot {
  const { grantRequest } = request;
  const { server, estimate } = choice;
  const { speed } = server;
  const streams = server.inFlight.size + 1;
  const uncachedFirstTokenAfter = speed.predictFirstTokenAfter(
    server.prefillTokens + grantRequest.promptTokens,
  );
  const lateAfter = LATE_MARGIN_MILLISECONDS + LATE_FACTOR * uncachedFirstTokenAfter;
  const overdueAfter = Math.max(
    MINIMUM_OVERDUE_MILLISECONDS,
    OVERDUE_FACTOR * uncachedFirstTokenAfter,
  );
  return {
    request: request.id,
    from: grantRequest.from,
    backendServer: grant.backendServer,
    version: grant.version,
    route: grantRequest.route,
    tier: grantRequest.tier,
    promptTokens: grantRequest.promptTokens,
    maximumOutputTokens: grantRequest.maximumOutputTokens,
    reservedTokens: state.workEstimates.getReservedTokens(grantRequest),
    prefixHashes: grantRequest.prefixHashes,
    grantedAt: now,
    prefillTokens: estimate.prefillTokens,
    prefillBacklogTokens: server.prefillTokens + estimate.prefillTokens,
    streamsAtGrant: streams,
    expectedCachedTokens: estimate.cachedTokens,
    expectedFirstTokenAfter: estimate.firstTokenAfter,
    lateAt: speed.hasEnoughSamples ? now + lateAfter : Number.POSITIVE_INFINITY,
    overdueAt: speed.hasEnoughSamples ? now + overdueAfter : Number.POSITIVE_INFINITY,
    streamTimeAtFirstToken: server.streamTime,
    firstTokenAt: undefined,
    grant,
  };
}
