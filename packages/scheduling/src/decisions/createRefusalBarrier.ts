import type { Milliseconds } from '@rattanreel/core';
import type { RefusalBarrier } from './types';

/** Creates a barrier that blocks no tier. */
export default function createRefusalBarrier(): RefusalBarrier {
  const untilByTier: Milliseconds[] = [];

  return {
    blockBelow(tier, until) {
      untilByTier[tier] = Math.max(untilByTier[tier] ?? Number.NEGATIVE_INFINITY, until);
    },
    getBlockedUntil(tier) {
      let until = Number.NEGATIVE_INFINITY;
      for (let higher = 0; higher < tier; higher += 1) {
        until = Math.max(until, untilByTier[higher] ?? Number.NEGATIVE_INFINITY);
      }
      return until;
    },
  };
}
