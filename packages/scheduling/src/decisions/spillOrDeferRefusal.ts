import type { Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../queue/types';
import getLowestTier from './getLowestTier';
import refuse from './refuse';
import trySpill from './trySpill';
import type { SchedulerState } from './types';

/**
 * Spills over a request that is not queued and cannot be answered in time here, or refuses it. The
 * refusal is deferred while a lower tier is waiting.
 */
export default function spillOrDeferRefusal(
  state: SchedulerState,
  request: QueuedRequest,
  now: Milliseconds,
): void {
  if (trySpill(state, request, now)) {
    return;
  }
  if (getLowestTier(state) > request.grantRequest.tier) {
    state.deferredRefusals.add(request);
  } else {
    refuse(state, request, 'deadlineCannotBeMet', now);
  }
}
