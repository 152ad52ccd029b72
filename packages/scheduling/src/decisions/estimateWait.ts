import type { Milliseconds } from '@rattanreel/core';
import getPoolSpeed from './getPoolSpeed';
import type { SchedulerState } from './types';

const SMALLEST_SHARE_LEFT = 0.1;
const SMALLEST_RATE = 1e-9;

/** Tokens that the pool can take in a millisecond, by its slots and by its prefill. */
function serviceRate(state: SchedulerState, now: Milliseconds): number | undefined {
  const { meanHolding, meanCost, promptShare } = state.work;
  const { slots, prefillRate } = getPoolSpeed(state, now);
  if (meanHolding === undefined || slots === 0) {
    return undefined;
  }
  const bySlots = (slots * meanCost) / Math.max(1, meanHolding);
  const byPrefill = prefillRate / Math.max(SMALLEST_RATE, promptShare);
  return Math.max(SMALLEST_RATE, Math.min(bySlots, byPrefill));
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
  const handoverWait = Math.max(0, (state.handover.endsAt(now) ?? now) - now);
  const rate = serviceRate(state, now);
  if (rate === undefined) {
    return handoverWait;
  }
  const shareLeft = 1 - state.demand.rateAbove(request.tier, now) / rate;
  const costAhead = state.queue.costThrough(request.band) + request.cost;
  return handoverWait + costAhead / (rate * Math.max(SMALLEST_SHARE_LEFT, shareLeft));
}
