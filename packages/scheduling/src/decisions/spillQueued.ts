import type { Milliseconds } from '@rattanreel/core';
import expectedWait from './expectedWait';
import getBand from './getBand';
import trySpill from './trySpill';
import type { SchedulerState } from './types';

/** Passes on requests of one tier, the newest first, while they would wait long here. */
function spillTier(state: SchedulerState, tier: number, now: Milliseconds): void {
  const band = getBand(tier, false);
  let newest = state.queue.tryGetNewestOf(band);
  while (newest !== undefined && expectedWait(state, newest, now) > state.policy.spillWait) {
    if (!trySpill(state, newest, now)) {
      return;
    }
    state.queue.remove(newest);
    newest = state.queue.tryGetNewestOf(band);
  }
}

/** Passes on queued requests that would wait long here, the highest tier first. */
export default function spillQueued(state: SchedulerState, now: Milliseconds): void {
  for (let tier = 0; tier < state.tiers; tier += 1) {
    spillTier(state, tier, now);
  }
}
