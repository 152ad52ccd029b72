import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { NeighbourPool } from '../types';
import type { Displacement } from './types';

const DEMAND_SHARE = 0.34;
const BURST_MILLISECONDS: Milliseconds = 1_000;
const OLDEST_SUMMARY_MILLISECONDS: Milliseconds = 10_000;

interface Allowance {
  neighbour: NeighbourPool;
  heardAt: Milliseconds;
  /** Tokens that may be passed on now. */
  level: number;
  filledAt: Milliseconds;
}

/**
 * Lets requests in danger go to neighbours that announce no room, where they come before lower tiers: to each at
 * most a third of what their tier asks for here. The neighbour with the least queued comes first.
 */
export default function createDisplacement(): Displacement {
  const allowances = new Map<FailureDomainId, Allowance>();

  function fill(allowance: Allowance, rate: number, now: Milliseconds): void {
    const most = DEMAND_SHARE * rate * BURST_MILLISECONDS;
    const gained = DEMAND_SHARE * rate * (now - allowance.filledAt);
    allowance.level = Math.min(most, allowance.level + gained);
    allowance.filledAt = now;
  }

  function isOpen({ neighbour, heardAt }: Allowance, now: Milliseconds): boolean {
    return (
      !neighbour.drained && now - heardAt + neighbour.summaryAge <= OLDEST_SUMMARY_MILLISECONDS
    );
  }

  return {
    tryTake(rate, tokens, now) {
      let best: Allowance | undefined;
      allowances.forEach((allowance) => {
        fill(allowance, rate, now);
        const isBetter =
          best === undefined || allowance.neighbour.queuedTokens < best.neighbour.queuedTokens;
        if (isOpen(allowance, now) && allowance.level > 0 && isBetter) {
          best = allowance;
        }
      });
      if (best !== undefined) {
        best.level -= tokens;
      }
      return best?.neighbour.failureDomain;
    },
    configure(neighbours, now) {
      const known = new Set(neighbours.map(({ failureDomain }) => failureDomain));
      [...allowances.keys()].filter((id) => !known.has(id)).forEach((id) => allowances.delete(id));
      neighbours.forEach((neighbour) => {
        const held = allowances.get(neighbour.failureDomain);
        const fresh = { neighbour, heardAt: now, level: 0, filledAt: now };
        allowances.set(
          neighbour.failureDomain,
          held ? { ...held, neighbour, heardAt: now } : fresh,
        );
      });
    },
  };
}
