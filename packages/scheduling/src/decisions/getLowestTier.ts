import type { TierRank } from '@rattanreel/core';
import type { SchedulerState } from './types';

const NONE = -1;

/**
 * Returns the rank of the lowest tier that has a queued request or a deferred refusal; -1 when none
 * has.
 */
export default function getLowestTier(state: SchedulerState): TierRank {
  const queued = state.queue.tryGetNewestInLowestBand()?.grantRequest.tier ?? NONE;
  return Math.max(queued, state.deferredRefusals.lowestTier);
}
