import type { Milliseconds, TierRank } from '@rattanreel/core';
import type { Demand } from './types';

const TIME_CONSTANT_MILLISECONDS: Milliseconds = 3_000;

interface Flow {
  rate: number;
  at: Milliseconds;
}

/** Follows how many tokens a millisecond each tier asks for, by exponentially decaying sums. */
export default function createDemand(): Demand {
  const flows: Flow[] = [];

  function decay(flow: Flow, now: Milliseconds): void {
    flow.rate *= Math.exp((flow.at - now) / TIME_CONSTANT_MILLISECONDS);
    flow.at = now;
  }

  function rateOf(tier: TierRank, now: Milliseconds): number {
    const flow = flows[tier];
    if (flow === undefined) {
      return 0;
    }
    decay(flow, now);
    return flow.rate;
  }

  return {
    rateOf,
    rateAbove(tier, now) {
      let rate = 0;
      for (let higher = 0; higher < tier; higher += 1) {
        rate += rateOf(higher, now);
      }
      return rate;
    },
    arrived(tier, tokens, now) {
      while (flows.length <= tier) {
        flows.push({ rate: 0, at: now });
      }
      const flow = flows[tier]!;
      decay(flow, now);
      flow.rate += tokens / TIME_CONSTANT_MILLISECONDS;
    },
  };
}
