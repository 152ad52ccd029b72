import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import estimateQueuedWait from './estimateQueuedWait';
import type { SchedulerState } from './types';

/** Share of the time left that the expected wait takes when a request is in danger. */
const URGENT_WAIT_SHARE = 0.15;

/** Takes room that a neighbour has announced. */
function tryReserveSpareTokens(
  state: SchedulerState,
  { grantRequest, cost }: QueuedRequest,
  now: Milliseconds,
): FailureDomainId | undefined {
  return state.spillBudget.tryReserve(grantRequest.tier, cost, now);
}

/** Finds a neighbour where a request in danger comes before lower tiers. */
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

/** Passes a request on to a neighbour that can serve it; a request that was passed on before stays. */
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
