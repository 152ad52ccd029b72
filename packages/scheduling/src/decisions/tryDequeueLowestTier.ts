import type { QueuedRequest } from '../queue/types';
import getLowestTier from './getLowestTier';
import type { SchedulerState } from './types';

/**
 * Removes and returns the next request to refuse: of the lowest tier, one with a deferred refusal,
 * otherwise the newest. Returns undefined when no request is waiting.
 */
export default function tryDequeueLowestTier(state: SchedulerState): QueuedRequest | undefined {
  const lowestTier = getLowestTier(state);
  const deferred = state.deferredRefusals.tryGetFromLowestTier();
  if (deferred !== undefined && deferred.grantRequest.tier === lowestTier) {
    state.deferredRefusals.remove(deferred);
    return deferred;
  }
  const newest = state.queue.tryGetNewestInLowestBand();
  if (newest !== undefined) {
    state.queue.remove(newest);
  }
  return newest;
}
