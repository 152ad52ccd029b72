import type { Milliseconds } from '@rattanreel/core';
import hasEligibleServer from './hasEligibleServer';
import spillOrRefuse from './spillOrRefuse';
import tryDequeueLowestTier from './tryDequeueLowestTier';
import type { SchedulerState } from './types';

/**
 * Spills over or refuses all waiting requests, lowest tier first, once no backend server here may
 * serve them.
 */
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
