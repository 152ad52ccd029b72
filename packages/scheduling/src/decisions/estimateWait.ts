import type { Milliseconds } from '@rattanreel/core';
import getPoolSpeed from './getPoolSpeed';
import type { SchedulerState } from './types';

/** Expected time until the work queued in `band` and above, with `cost` more, has been granted. */
export default function estimateWait(
  state: SchedulerState,
  band: number,
  cost: number,
  now: Milliseconds,
): Milliseconds {
  const handoverWait = Math.max(0, (state.handover.endsAt(now) ?? now) - now);
  const { meanHolding, meanCost, promptShare } = state.work;
  const { slots, prefillRate } = getPoolSpeed(state, now);
  if (meanHolding === undefined || slots === 0) {
    return handoverWait;
  }
  const costAhead = state.queue.costThrough(band) + cost;
  const slotWait = (costAhead / Math.max(1, meanCost)) * (meanHolding / slots);
  const prefillWait = (costAhead * promptShare) / prefillRate;
  return handoverWait + Math.max(slotWait, prefillWait);
}
