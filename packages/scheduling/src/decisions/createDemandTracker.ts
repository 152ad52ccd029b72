import type { Milliseconds, TierRank } from '@rattanreel/core';
import type { DemandTracker } from './types';

const TIME_CONSTANT_MILLISECONDS: Milliseconds = 3_000;

interface DecayingRate {
  rate: number;
  updatedAt: Milliseconds;
}

/** Tracks the demand of each tier, in tokens per millisecond, by exponentially decaying sums. */
export default function createDemandTracker(): DemandTracker {
  const rates: DecayingRate[] = [];

  function decay(tierRate: DecayingRate, now: Milliseconds): void {
    tierRate.rate *= Math.exp((tierRate.updatedAt - now) / TIME_CONSTANT_MILLISECONDS);
    tierRate.updatedAt = now;
  }

  function getRate(tier: TierRank, now: Milliseconds): number {
    const tierRate = rates[tier];
    if (tierRate === undefined) {
      return 0;
    }
    decay(tierRate, now);
    return tierRate.rate;
  }

  return {
    getRate,
    getRateAbove(tier, now) {
      let rate = 0;
      for (let higher = 0; higher < tier; higher += 1) {
        rate += getRate(higher, now);
      }
      return rate;
    },
    recordArrival(tier, tokens, now) {
      while (rates.length <= tier) {
        rates.push({ rate: 0, updatedAt: now });
      }
      const tierRate = rates[tier]!;
      decay(tierRate, now);
      tierRate.rate += tokens / TIME_CONSTANT_MILLISECONDS;
    },
  };
}
