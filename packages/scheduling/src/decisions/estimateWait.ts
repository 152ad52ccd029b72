import type { Milliseconds } from '@rattanreel/core';
import getPoolThroughput from './getPoolThroughput';
import type { SchedulerState } from './types';

const MINIMUM_SHARE_LEFT = 0.1;
const MINIMUM_RATE = 1e-9;

/**
 * Returns the tokens that the pool can accept per millisecond, limited by its slots and by its
 * prefill; undefined when unknown.
 */
function getServiceRate(state: SchedulerState, now: Milliseconds): number | undefined {
  const { meanHoldingTime, meanCostTokens, promptShare } = state.workEstimates;
  const { slots, prefillRate } = getPoolThroughput(state, now);
  if (meanHoldingTime === undefined || slots === 0) {
    return undefined;
  }
  const bySlots = (slots * meanCostTokens) / Math.max(1, meanHoldingTime);
  const byPrefill = prefillRate / Math.max(MINIMUM_RATE, promptShare);
  return Math.max(MINIMUM_RATE, Math.min(bySlots, byPrefill));
}

/**
 * Estimates the time until the work queued in `band` and above, and `cost` tokens more, has been
 * granted while requests of higher tiers keep arriving at their recent rate. Only the rest of the
 * handover counts while the service rate is unknown.
 */
export default function estimateWait(
  state: SchedulerState,
  request: { readonly band: number; readonly tier: number; readonly cost: number },
  now: Milliseconds,
): Milliseconds {
  const handoverWait = Math.max(0, (state.handover.tryGetEnd(now) ?? now) - now);
  const rate = getServiceRate(state, now);
  if (rate === undefined) {
    return handoverWait;
  }
  const shareLeft = 1 - state.demandTracker.getRateAbove(request.tier, now) / rate;
  const costAhead = state.queue.getCostThrough(request.band) + request.cost;
  return handoverWait + costAhead / (rate * Math.max(MINIMUM_SHARE_LEFT, shareLeft));
}
