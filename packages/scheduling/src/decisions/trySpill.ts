import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import estimateQueuedWait from './estimateQueuedWait';
import type { SchedulerState } from './types';

/**
 * A request is urgent when its expected wait exceeds this share of the time until its latest start.
 */
const URGENT_WAIT_SHARE = 0.15;

/** Reserves spare capacity that a remote pool has announced. */
function tryReserveSpareTokens(
  state: SchedulerState,
  { grantRequest, cost }: QueuedRequest,
  now: Milliseconds,
): FailureDomainId | undefined {
  return state.spillBudget.tryReserve(grantRequest.tier, cost, now);
}

/** Finds a failure domain where an urgent request takes precedence over lower tiers. */
function tryReserveByPriority(
  state: SchedulerState,
  request: QueuedRequest,
  now: Milliseconds,
): FailureDomainId | undefined {
  const { grantRequest, cost, latestStart } = request;
  const hasLowerTier = grantRequest.tier < state.tierCount - 1;
  if (
    !hasLowerTier ||
    estimateQueuedWait(state, request, now) <= (latestStart - now) * URGENT_WAIT_SHARE
  ) {
    return undefined;
  }
  return state.prioritySpillBudget.tryReserve(
    state.demandTracker.getRate(grantRequest.tier, now),
    cost,
    now,
  );
}

/**
 * Spills a request over to another failure domain that can serve it and returns whether it did. A
 * request that was spilled over to this domain is not spilled over again.
 */
export default function trySpill(
  state: SchedulerState,
  request: QueuedRequest,
  now: Milliseconds,
): boolean {
  if (request.grantRequest.homeDomain !== state.options.failureDomain) {
    return false;
  }
  const failureDomain =
    tryReserveSpareTokens(state, request, now) ?? tryReserveByPriority(state, request, now);
  if (failureDomain === undefined) {
    return false;
  }
  state.effects.push({
    kind: 'spillOver',
    request: request.id,
    to: request.grantRequest.from,
    failureDomain,
    queuedFor: now - request.enqueuedAt,
  });
  return true;
}
