import type { TierRank } from '@rattanreel/core';

const BANDS_PER_TIER = 2;

/** Rank in the strict order of service: by tier, within one the domain's own requests first. */
export default function getPriorityBand(tier: TierRank, isSpilled: boolean): number {
  return tier * BANDS_PER_TIER + (isSpilled ? 1 : 0);
}
