import type { TierRank } from '@rattanreel/core';
import type { SchedulerState } from './types';

const NONE = -1;

/** Rank of the lowest tier that waits here in any way; -1 when nothing waits. */
export default function getLowestTier(state: SchedulerState): TierRank {
  const queued = state.queue.tryGetNewestInLowestBand()?.grantRequest.tier ?? NONE;
  return Math.max(queued, state.deferredRefusals.lowestTier);
}
