import type { Milliseconds } from '@rattanreel/core';
import hasProspect from './hasProspect';
import spillOrRefuse from './spillOrRefuse';
import tryTakeLowest from './tryTakeLowest';
import type { SchedulerState } from './types';

/** Passes on or refuses all that waits, lowest tier first, once nothing here may serve it. */
export default function abandonQueue(state: SchedulerState, now: Milliseconds): void {
  if (!state.domainDrained && hasProspect(state)) {
    return;
  }
  const reason = state.domainDrained ? 'domainDrained' : 'noBackendServer';
  let request = tryTakeLowest(state);
  while (request !== undefined) {
    spillOrRefuse(state, request, reason, now);
    request = tryTakeLowest(state);
  }
}
