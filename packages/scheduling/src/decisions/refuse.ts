import type { Milliseconds } from '@rattanreel/core';
import { Debug } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import type { RefusalReason } from '../types';
import estimateWait from './estimateWait';
import getLowestTier from './getLowestTier';
import type { SchedulerState } from './types';

const MINIMUM_RETRY_MILLISECONDS = 250;
const MAXIMUM_RETRY_MILLISECONDS = 60_000;
const RETRY_JITTER = 0.25;

/** Reasons that depend on the request alone, so that lower tiers gain nothing from the refusal. */
const REQUEST_ONLY_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'deadlinePassed',
  'tooLargeForAnyBackendServer',
]);

function getJitteredRetryAfter(state: SchedulerState, wait: Milliseconds): Milliseconds {
  const bounded = Math.min(MAXIMUM_RETRY_MILLISECONDS, Math.max(MINIMUM_RETRY_MILLISECONDS, wait));
  return Math.ceil(bounded * (1 + RETRY_JITTER * state.random.next()));
}

function assertNoLowerTierWaits(
  state: SchedulerState,
  request: QueuedRequest,
  reason: RefusalReason,
): void {
  Debug.invariant(
    REQUEST_ONLY_REASONS.has(reason) || getLowestTier(state) <= request.grantRequest.tier,
    'higher-tier-refused-first',
    () => `${request.id} of tier ${request.grantRequest.tier}: ${reason} while a lower tier waits`,
  );
}

/**
 * Refuses a request that is no longer queued. Unless the reason depends on the request alone, no
 * lower tier may be waiting, and lower tiers get no grants until the refused request could have
 * been granted.
 */
export default function refuse(
  state: SchedulerState,
  request: QueuedRequest,
  reason: RefusalReason,
  now: Milliseconds,
): void {
  assertNoLowerTierWaits(state, request, reason);
  const { band, cost, grantRequest } = request;
  const wait = estimateWait(state, { band, cost, tier: grantRequest.tier }, now);
  if (!REQUEST_ONLY_REASONS.has(reason)) {
    state.refusalBarrier.blockBelow(
      request.grantRequest.tier,
      Math.min(request.latestStart, now + wait),
    );
  }
  state.effects.push({
    kind: 'refusal',
    request: request.id,
    to: request.grantRequest.from,
    reason,
    retryAfter: getJitteredRetryAfter(state, wait),
    queuedFor: now - request.enqueuedAt,
  });
}
