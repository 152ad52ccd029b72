import type { QueuedRequest } from '../queue/types';
import getLowestTier from './getLowestTier';
import type { SchedulerState } from './types';

/** Removes the request to be refused first: of the lowest tier, the hopeless before the newest. */
export default function tryTakeLowest(state: SchedulerState): QueuedRequest | undefined {
  const lowest = getLowestTier(state);
  const hopeless = state.deferred.tryGetLowest();
  if (hopeless !== undefined && hopeless.asked.tier === lowest) {
    state.deferred.remove(hopeless);
    return hopeless;
  }
  const newest = state.queue.tryGetNewestOfLowest();
  if (newest !== undefined) {
    state.queue.remove(newest);
  }
  return newest;
}
