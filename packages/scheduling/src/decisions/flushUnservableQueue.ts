import type { Milliseconds } from '@rattanreel/core';
import hasEligibleServer from './hasEligibleServer';
import spillOrRefuse from './spillOrRefuse';
import tryDequeueLowestTier from './tryDequeueLowestTier';
import type { SchedulerState } from './types';

/** Passes on or refuses all that waits, lowest tier first, once nothing here may serve it. */
export default function flushUnservableQueue(state: SchedulerState, now: Milliseconds): void {
  if (!state.domainDrained && hasEligibleServer(state)) {
    return;
  }
  const reason = state.domainDrained ? 'domainDrained' : 'noBackendServer';
  let request = tryDequeueLowestTier(state);
  while (request !== undefined) {
    spillOrRefuse(state, request, reason, now);
    request = tryDequeueLowestTier(state);
  }
}
