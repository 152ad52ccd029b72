import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { NeighbourPool } from '../types';
import type { SpillBudget } from './types';

const SPARE_SHARE = 0.25;
const SUMMARY_HALF_LIFE_MILLISECONDS: Milliseconds = 2_000;
const OLDEST_SUMMARY_MILLISECONDS: Milliseconds = 10_000;
const KEPT_FOR_HIGHER_TIER = 0.1;
const MOST_KEPT_FOR_HIGHER_TIERS = 0.8;

interface Allowance {
  total: number;
  left: number;
}

function allowanceOf(neighbour: NeighbourPool): number {
  if (neighbour.drained || neighbour.summaryAge > OLDEST_SUMMARY_MILLISECONDS) {
    return 0;
  }
  const decay = 0.5 ** (neighbour.summaryAge / SUMMARY_HALF_LIFE_MILLISECONDS);
  const spare = neighbour.spareTokens - neighbour.queuedTokens;
  return Math.max(0, spare) * SPARE_SHARE * decay;
}

/**
 * Allows a part of what each neighbour last announced as spare, less as the announcement ages; the last
 * part of it is kept for higher tiers.
 */
export default function createSpillBudget(): SpillBudget {
  let allowances = new Map<FailureDomainId, Allowance>();

  function usable(allowance: Allowance, tier: number): number {
    const kept = Math.min(MOST_KEPT_FOR_HIGHER_TIERS, tier * KEPT_FOR_HIGHER_TIER);
    return allowance.left - allowance.total * kept;
  }

  return {
    tryTake(tier, tokens) {
      let best: FailureDomainId | undefined;
      let most = tokens;
      allowances.forEach((allowance, failureDomain) => {
        const room = usable(allowance, tier);
        if (room >= most) {
          best = failureDomain;
          most = room;
        }
      });
      if (best !== undefined) {
        allowances.get(best)!.left -= tokens;
      }
      return best;
    },
    configure(neighbours) {
      const previous = allowances;
      allowances = new Map();
      neighbours.forEach((neighbour) => {
        const total = allowanceOf(neighbour);
        const held = previous.get(neighbour.failureDomain);
        const left = neighbour.summaryAge > 0 && held ? Math.min(held.left, total) : total;
        allowances.set(neighbour.failureDomain, { total, left });
      });
    },
  };
}
