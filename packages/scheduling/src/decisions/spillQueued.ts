import type { Milliseconds } from '@rattanreel/core';
import estimateQueuedWait from './estimateQueuedWait';
import getPriorityBand from './getPriorityBand';
import trySpill from './trySpill';
import type { SchedulerState } from './types';

/**
 * Spills over requests of one tier, newest first, while their expected wait exceeds the threshold.
 */
function spillTier(state: SchedulerState, tier: number, now: Milliseconds): void {
  const band = getPriorityBand(tier, false);
  let newest = state.queue.tryGetNewestInBand(band);
  while (
    newest !== undefined &&
    estimateQueuedWait(state, newest, now) > state.policy.spillWaitThreshold
  ) {
    if (!trySpill(state, newest, now)) {
      return;
    }
    state.queue.remove(newest);
    newest = state.queue.tryGetNewestInBand(band);
  }
}

/** Spills over queued requests whose expected wait exceeds the threshold, highest tier first. */
export default function spillQueued(state: SchedulerState, now: Milliseconds): void {
  for (let tier = 0; tier < state.tierCount; tier += 1) {
    spillTier(state, tier, now);
  }
}
