import type { Milliseconds } from '@rattanreel/core';
import getLowestTier from './getLowestTier';
import refuse from './refuse';
import type { SchedulerState } from './types';

function refusePassed(state: SchedulerState, now: Milliseconds): void {
  let due = state.deferred.tryGetNextDue();
  while (due !== undefined && Math.min(due.firstTokenDueAt, due.dueAt) < now) {
    state.deferred.remove(due);
    refuse(state, due, 'deadlinePassed', now);
    due = state.deferred.tryGetNextDue();
  }
}

/** Refuses deferred requests below which nothing waits any more, and those whose deadline has passed. */
export default function settleDeferred(state: SchedulerState, now: Milliseconds): void {
  if (state.deferred.size === 0) {
    return;
  }
  refusePassed(state, now);
  let lowest = state.deferred.tryGetLowest();
  while (lowest !== undefined && getLowestTier(state) === lowest.asked.tier) {
    state.deferred.remove(lowest);
    refuse(state, lowest, 'deadlineCannotBeMet', now);
    lowest = state.deferred.tryGetLowest();
  }
}
