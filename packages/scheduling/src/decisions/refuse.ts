import type { Milliseconds } from '@rattanreel/core';
import { Debug } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import type { RefusalReason } from '../types';
import estimateWait from './estimateWait';
import getLowestTier from './getLowestTier';
import type { SchedulerState } from './types';

const SHORTEST_RETRY_MILLISECONDS = 250;
const LONGEST_RETRY_MILLISECONDS = 60_000;
const RETRY_JITTER = 0.25;

/** Refusals that state a fact about the request alone, so that no lower tier can profit from them. */
const FACTS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'deadlinePassed',
  'tooLargeForAnyBackendServer',
]);

function jitteredRetry(state: SchedulerState, wait: Milliseconds): Milliseconds {
  const bounded = Math.min(LONGEST_RETRY_MILLISECONDS, Math.max(SHORTEST_RETRY_MILLISECONDS, wait));
  return Math.ceil(bounded * (1 + RETRY_JITTER * state.random.next()));
}

function assertLowest(state: SchedulerState, request: QueuedRequest, reason: RefusalReason): void {
  Debug.invariant(
    FACTS.has(reason) || getLowestTier(state) <= request.asked.tier,
    'higher-tier-refused-first',
    () => `${request.id} of tier ${request.asked.tier}: ${reason} while a lower tier waits`,
  );
}

/**
 * Refuses a request that is no longer queued. No lower tier may wait, unless the ground is a fact; until the
 * refused request could have been served, none is served either.
 */
export default function refuse(
  state: SchedulerState,
  request: QueuedRequest,
  reason: RefusalReason,
  now: Milliseconds,
): void {
  assertLowest(state, request, reason);
  const { band, cost, asked } = request;
  const wait = estimateWait(state, { band, cost, tier: asked.tier }, now);
  if (!FACTS.has(reason)) {
    state.barrier.refused(request.asked.tier, Math.min(request.latestStart, now + wait));
  }
  state.effects.push({
    kind: 'refusal',
    request: request.id,
    to: request.asked.from,
    reason,
    retryAfter: jitteredRetry(state, wait),
    queuedFor: now - request.enqueuedAt,
  });
}
