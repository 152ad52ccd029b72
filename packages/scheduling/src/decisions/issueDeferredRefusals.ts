import type { Milliseconds } from '@rattanreel/core';
import getLowestTier from './getLowestTier';
import refuse from './refuse';
import type { SchedulerState } from './types';

function refusePastDeadline(state: SchedulerState, now: Milliseconds): void {
  let expired = state.deferredRefusals.tryGetNextDue();
  while (expired !== undefined && Math.min(expired.firstTokenDueAt, expired.dueAt) < now) {
    state.deferredRefusals.remove(expired);
    refuse(state, expired, 'deadlinePassed', now);
    expired = state.deferredRefusals.tryGetNextDue();
  }
}

/**
 * Issues deferred refusals of requests below whose tier no request is waiting, and of those whose
 * deadline has passed.
 */
export default function issueDeferredRefusals(state: SchedulerState, now: Milliseconds): void {
  if (state.deferredRefusals.size === 0) {
    return;
  }
  refusePastDeadline(state, now);
  let lowest = state.deferredRefusals.tryGetFromLowestTier();
  while (lowest !== undefined && getLowestTier(state) === lowest.grantRequest.tier) {
    state.deferredRefusals.remove(lowest);
    refuse(state, lowest, 'deadlineCannotBeMet', now);
    lowest = state.deferredRefusals.tryGetFromLowestTier();
  }
}
