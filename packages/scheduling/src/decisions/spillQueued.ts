import type { Milliseconds } from '@rattanreel/core';
import expectedWait from './expectedWait';
import trySpill from './trySpill';
import type { SchedulerState } from './types';

/** Passes on queued requests that would wait long here, those that would wait longest first. */
export default function spillQueued(state: SchedulerState, now: Milliseconds): void {
  let last = state.queue.tryGetNewestOfLowest();
  while (last !== undefined && expectedWait(state, last, now) > state.policy.spillWait) {
    if (!trySpill(state, last, now)) {
      return;
    }
    state.queue.remove(last);
    last = state.queue.tryGetNewestOfLowest();
  }
}
