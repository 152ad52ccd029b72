import type { Milliseconds, TierRank } from '@rattanreel/core';
import createMovingMean from './createMovingMean';
import type { MovingMean, PlaceClaim, PlaceCounts, PlaceGroup } from './types';

/** Part of a pool's places that each tier may always use, so that overload starves none. */
const FLOOR_PART = 0.18;
/** Returning requests get this part of the floor: the rest is left to fresh ones, which can still be in time. */
const RETURNING_FLOOR_PART = 0.25;
/** Part of a pool's places kept free per multiple by which a tier's answers last longer. */
const HEADROOM_PER_MULTIPLE = 0.1;
const MOST_HEADROOM = 0.25;
/** Returning requests, late already, leave this many times the headroom: fresh ones of their tier come next. */
const RETURNING_HEADROOM = 1.6;
const DURATION_GUESS: Milliseconds = 400;
const DURATION_WEIGHT = 0.05;

interface PlaceShares {
  noteDuration(tier: TierRank, duration: Milliseconds): void;
  getDuration(tier: TierRank): Milliseconds;
  /** Whether a request of this group may take a place. */
  judge(group: PlaceGroup, counts: PlaceCounts): PlaceClaim;
}

/**
 * How tiers share a pool's places under load. Long answers of a less urgent tier hold their places for
 * seconds and cannot be taken back, so they leave some free for the first moments of a burst of more
 * urgent requests; and each tier keeps a small floor.
 */
export default function createPlaceShares(): PlaceShares {
  const durations = new Map<TierRank, MovingMean>();

  function getMean(tier: TierRank): MovingMean {
    let mean = durations.get(tier);
    if (mean === undefined) {
      mean = createMovingMean({ initial: DURATION_GUESS, weight: DURATION_WEIGHT });
      durations.set(tier, mean);
    }
    return mean;
  }

  /** Part of the places that this tier leaves to those above it. */
  function getHeadroom(tier: TierRank): number {
    const above = [...durations].filter(([other]) => other < tier);
    if (above.length === 0) {
      return 0;
    }
    const shortest = Math.min(...above.map(([, mean]) => mean.get()));
    const multiple = getMean(tier).get() / Math.max(shortest, 1) - 1;
    return Math.min(Math.max(multiple * HEADROOM_PER_MULTIPLE, 0), MOST_HEADROOM);
  }

  return {
    noteDuration: (tier, duration) => getMean(tier).add(duration),
    getDuration: (tier) => getMean(tier).get(),
    judge({ tier, isReturning }, { places, taken, getTakenBy }) {
      const floorPart = FLOOR_PART * (isReturning ? RETURNING_FLOOR_PART : 1);
      if (getTakenBy(tier) + 1 <= places * floorPart) {
        return 'belowFloor';
      }
      const headroom = getHeadroom(tier) * (isReturning ? RETURNING_HEADROOM : 1);
      return taken + 1 <= places * (1 - headroom) || headroom === 0 ? 'free' : 'kept';
    },
  };
}
