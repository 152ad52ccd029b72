import type { TierRank } from '@rattanreel/core';

const BANDS_PER_TIER = 2;

/**
 * Returns the rank of a priority band: ordered by tier and, within a tier, the domain's own
 * requests before spilled-over ones.
 */
export default function getPriorityBand(tier: TierRank, isSpilled: boolean): number {
  return tier * BANDS_PER_TIER + (isSpilled ? 1 : 0);
}
