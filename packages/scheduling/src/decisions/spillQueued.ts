import type { Milliseconds } from '@rattanreel/core';
import estimateWait from './estimateWait';
import trySpill from './trySpill';
import type { SchedulerState } from './types';

/** Passes on queued requests that would wait long here, those that would wait longest first. */
export default function spillQueued(state: SchedulerState, now: Milliseconds): void {
  let last = state.queue.tryGetNewestOfLowest();
  while (last !== undefined && estimateWait(state, last.band, 0, now) > state.policy.spillWait) {
    if (!trySpill(state, last, now)) {
      return;
    }
    state.queue.remove(last);
    last = state.queue.tryGetNewestOfLowest();
  }
}
