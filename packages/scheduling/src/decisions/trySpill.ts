import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import expectedWait from './expectedWait';
import type { SchedulerState } from './types';

/** Share of the time left that the expected wait takes when a request is in danger. */
const DANGER_SHARE = 0.15;

/** Takes room that a neighbour has announced. */
function tryTakeRoom(
  state: SchedulerState,
  { asked, cost }: QueuedRequest,
  now: Milliseconds,
): FailureDomainId | undefined {
  return state.spill.tryTake(asked.tier, cost, now);
}

/** Finds a neighbour where a request in danger comes before lower tiers. */
function tryDisplace(
  state: SchedulerState,
  request: QueuedRequest,
  now: Milliseconds,
): FailureDomainId | undefined {
  const { asked, cost, latestStart } = request;
  const hasLowerTier = asked.tier < state.tiers - 1;
  if (!hasLowerTier || expectedWait(state, request, now) <= (latestStart - now) * DANGER_SHARE) {
    return undefined;
  }
  return state.displacement.tryTake(state.demand.rateOf(asked.tier, now), cost, now);
}

/** Passes a request on to a neighbour that can serve it; a request that was passed on before stays. */
export default function trySpill(
  state: SchedulerState,
  request: QueuedRequest,
  now: Milliseconds,
): boolean {
  if (request.asked.homeDomain !== state.options.failureDomain) {
    return false;
  }
  const failureDomain = tryTakeRoom(state, request, now) ?? tryDisplace(state, request, now);
  if (failureDomain === undefined) {
    return false;
  }
  state.effects.push({
    kind: 'spillOver',
    request: request.id,
    to: request.asked.from,
    failureDomain,
    queuedFor: now - request.enqueuedAt,
  });
  return true;
}
