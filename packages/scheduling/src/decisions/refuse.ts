import type { Milliseconds } from '@rattanreel/core';
import { Debug } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import type { RefusalReason } from '../types';
import estimateWait from './estimateWait';
import getBand from './getBand';
import type { SchedulerState } from './types';

const SHORTEST_RETRY_MILLISECONDS = 250;
const LONGEST_RETRY_MILLISECONDS = 60_000;
const RETRY_JITTER = 0.25;

/** Whether the refusal depends on load, so that a lower tier must not profit from it. */
function isLoadDependent(reason: RefusalReason): boolean {
  return reason === 'queueFull' || reason === 'evictedByHigherTier';
}

function retryAfter(state: SchedulerState, request: QueuedRequest, now: Milliseconds): number {
  const wait = estimateWait(state, request.band, request.cost, now);
  const bounded = Math.min(LONGEST_RETRY_MILLISECONDS, Math.max(SHORTEST_RETRY_MILLISECONDS, wait));
  return Math.ceil(bounded * (1 + RETRY_JITTER * state.random.next()));
}

/** Whether a request of a lower tier than `request` is queued. */
function hasLowerQueued(state: SchedulerState, request: QueuedRequest): boolean {
  const lowest = state.queue.tryGetNewestOfLowest();
  return lowest !== undefined && lowest.asked.tier > request.asked.tier;
}

/**
 * Refuses a request that is no longer queued. With `byLoad` the ground is the work ahead of it, and no lower
 * tier may be queued nor served before the refused request could have been.
 */
export default function refuse(
  state: SchedulerState,
  request: QueuedRequest,
  reason: RefusalReason,
  now: Milliseconds,
  byLoad = isLoadDependent(reason),
): void {
  if (byLoad) {
    Debug.invariant(
      !hasLowerQueued(state, request),
      'higher-tier-refused-first',
      () => `${request.id} of tier ${request.asked.tier} refused before a lower tier`,
    );
    const wait = estimateWait(state, getBand(request.asked.tier, false), request.cost, now);
    state.barrier.refused(request.asked.tier, Math.min(request.latestStart, now + wait));
  }
  state.effects.push({
    kind: 'refusal',
    request: request.id,
    to: request.asked.from,
    reason,
    retryAfter: retryAfter(state, request, now),
    queuedFor: now - request.enqueuedAt,
  });
}
