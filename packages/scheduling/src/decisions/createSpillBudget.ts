import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { RemotePool } from '../types';
import type { SpillBudget } from './types';

const USABLE_SPARE_SHARE = 0.25;
const SUMMARY_HALF_LIFE_MILLISECONDS: Milliseconds = 2_000;
const MAXIMUM_SUMMARY_AGE_MILLISECONDS: Milliseconds = 10_000;
const SUMMARY_TIME_TOLERANCE_MILLISECONDS: Milliseconds = 1;
const RESERVED_SHARE_PER_HIGHER_TIER = 0.1;
const MAXIMUM_RESERVED_SHARE = 0.8;

interface RemotePoolBudget {
  readonly announcedAt: Milliseconds;
  readonly drained: boolean;
  /** Usable tokens at the time of the announcement, before it ages. */
  readonly announcedTokens: number;
  reservedTokens: number;
  /**
   * Reservations since the announcement was made; those made after the next announcement are
   * carried over to it.
   */
  readonly reservations: { readonly at: Milliseconds; readonly tokens: number }[];
}

function createRemotePoolBudget(
  remotePool: RemotePool,
  announcedAt: Milliseconds,
): RemotePoolBudget {
  const spareTokens = Math.max(0, remotePool.spareTokens - remotePool.queuedTokens);
  const announcedTokens = spareTokens * USABLE_SPARE_SHARE;
  return {
    announcedAt,
    drained: remotePool.drained,
    announcedTokens,
    reservedTokens: 0,
    reservations: [],
  };
}

/** Carries over the tokens that were reserved after the newer announcement was made. */
function carryOverReservations(from: RemotePoolBudget, to: RemotePoolBudget): void {
  from.reservations
    .filter((spend) => spend.at >= to.announcedAt)
    .forEach((spend) => {
      to.reservations.push(spend);
      to.reservedTokens += spend.tokens;
    });
}

/**
 * Allows the use of a part of the spare capacity that each remote pool last announced, less as the
 * announcement ages. The last part of it is reserved for higher tiers.
 */
export default function createSpillBudget(): SpillBudget {
  let budgets = new Map<FailureDomainId, RemotePoolBudget>();

  function getUsableTokens(budget: RemotePoolBudget, tier: number, now: Milliseconds): number {
    const age = Math.max(0, now - budget.announcedAt);
    if (budget.drained || age > MAXIMUM_SUMMARY_AGE_MILLISECONDS) {
      return 0;
    }
    const total = budget.announcedTokens * 0.5 ** (age / SUMMARY_HALF_LIFE_MILLISECONDS);
    const reservedShare = Math.min(MAXIMUM_RESERVED_SHARE, tier * RESERVED_SHARE_PER_HIGHER_TIER);
    return total * (1 - reservedShare) - budget.reservedTokens;
  }

  return {
    tryReserve(tier, tokens, now) {
      let best: FailureDomainId | undefined;
      let mostUsable = 0;
      budgets.forEach((budget, failureDomain) => {
        const usable = getUsableTokens(budget, tier, now);
        if (usable > mostUsable) {
          best = failureDomain;
          mostUsable = usable;
        }
      });
      const chosen = best === undefined ? undefined : budgets.get(best);
      if (chosen !== undefined) {
        chosen.reservedTokens += tokens;
        chosen.reservations.push({ at: now, tokens });
      }
      return best;
    },
    configure(remotePools, now) {
      const previous = budgets;
      budgets = new Map();
      remotePools.forEach((remotePool) => {
        const announcedAt = now - remotePool.summaryAge;
        const existing = previous.get(remotePool.failureDomain);
        let next = createRemotePoolBudget(remotePool, announcedAt);
        if (
          existing !== undefined &&
          announcedAt <= existing.announcedAt + SUMMARY_TIME_TOLERANCE_MILLISECONDS
        ) {
          next = { ...existing, drained: remotePool.drained };
        } else if (existing !== undefined) {
          carryOverReservations(existing, next);
        }
        budgets.set(remotePool.failureDomain, next);
      });
    },
  };
}
