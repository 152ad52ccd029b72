import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { NeighbourPool } from '../types';
import type { SpillBudget } from './types';

const SPARE_SHARE = 0.25;
const SUMMARY_HALF_LIFE_MILLISECONDS: Milliseconds = 2_000;
const OLDEST_SUMMARY_MILLISECONDS: Milliseconds = 10_000;
const SAME_SUMMARY_MILLISECONDS: Milliseconds = 1;
const KEPT_FOR_HIGHER_TIER = 0.1;
const MOST_KEPT_FOR_HIGHER_TIERS = 0.8;

interface Allowance {
  readonly takenAt: Milliseconds;
  readonly drained: boolean;
  /** Tokens allowed by the announcement before it ages. */
  readonly announced: number;
  spent: number;
  /** Spent since the announcement was made, and so not seen in the next one either. */
  readonly spends: { readonly at: Milliseconds; readonly tokens: number }[];
}

function freshAllowance(neighbour: NeighbourPool, takenAt: Milliseconds): Allowance {
  const spare = Math.max(0, neighbour.spareTokens - neighbour.queuedTokens);
  const announced = spare * SPARE_SHARE;
  return { takenAt, drained: neighbour.drained, announced, spent: 0, spends: [] };
}

/** Carries over what was spent after the newer announcement was made. */
function carryOver(from: Allowance, to: Allowance): void {
  from.spends
    .filter((spend) => spend.at >= to.takenAt)
    .forEach((spend) => {
      to.spends.push(spend);
      to.spent += spend.tokens;
    });
}

/**
 * Allows a part of what each neighbour last announced as spare, less as the announcement ages; the last
 * part of it is kept for higher tiers.
 */
export default function createSpillBudget(): SpillBudget {
  let allowances = new Map<FailureDomainId, Allowance>();

  function usable(allowance: Allowance, tier: number, now: Milliseconds): number {
    const age = Math.max(0, now - allowance.takenAt);
    if (allowance.drained || age > OLDEST_SUMMARY_MILLISECONDS) {
      return 0;
    }
    const total = allowance.announced * 0.5 ** (age / SUMMARY_HALF_LIFE_MILLISECONDS);
    const kept = Math.min(MOST_KEPT_FOR_HIGHER_TIERS, tier * KEPT_FOR_HIGHER_TIER);
    return total * (1 - kept) - allowance.spent;
  }

  return {
    tryTake(tier, tokens, now) {
      let best: FailureDomainId | undefined;
      let most = 0;
      allowances.forEach((allowance, failureDomain) => {
        const room = usable(allowance, tier, now);
        if (room > most) {
          best = failureDomain;
          most = room;
        }
      });
      const taken = best === undefined ? undefined : allowances.get(best);
      if (taken !== undefined) {
        taken.spent += tokens;
        taken.spends.push({ at: now, tokens });
      }
      return best;
    },
    configure(neighbours, now) {
      const previous = allowances;
      allowances = new Map();
      neighbours.forEach((neighbour) => {
        const takenAt = now - neighbour.summaryAge;
        const held = previous.get(neighbour.failureDomain);
        let next = freshAllowance(neighbour, takenAt);
        if (held !== undefined && takenAt <= held.takenAt + SAME_SUMMARY_MILLISECONDS) {
          next = { ...held, drained: neighbour.drained };
        } else if (held !== undefined) {
          carryOver(held, next);
        }
        allowances.set(neighbour.failureDomain, next);
      });
    },
  };
}
