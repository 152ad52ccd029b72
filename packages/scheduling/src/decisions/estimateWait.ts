import type { Milliseconds } from '@rattanreel/core';
import getPoolThroughput from './getPoolThroughput';
import type { SchedulerState } from './types';

const MINIMUM_SHARE_LEFT = 0.1;
const MINIMUM_RATE = 1e-9;

/** Tokens that the pool can take in a millisecond, by its slots and by its prefill. */
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
 * Expected time until the work queued in `band` of `tier` and above, with `cost` more, has been granted, while
 * higher tiers go on arriving as of late. Nothing is expected while holding times are not learnt.
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
