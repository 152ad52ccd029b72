import type { Milliseconds, TierRank } from '@rattanreel/core';
import createMovingAverage from './createMovingAverage';
import type { MovingAverage, SlotEligibility, SlotCounts, SlotRequester } from './types';

/** Share of a pool's slots that each tier may always use, so that overload starves no tier. */
const FLOOR_SHARE = 0.18;
/**
 * Returning requests get this fraction of the floor; the rest is left to fresh ones, which can
 * still be in time.
 */
const RETURNING_FLOOR_FRACTION = 0.25;
/**
 * Share of a pool's slots that a tier leaves free for each multiple by which its responses last
 * longer than the shortest ones of the tiers above.
 */
const HEADROOM_PER_MULTIPLE = 0.1;
const MAXIMUM_HEADROOM = 0.25;
/**
 * Returning requests, which are late already, leave this multiple of the headroom free, so that
 * fresh requests of their tier go first.
 */
const RETURNING_HEADROOM_FACTOR = 1.6;
/**
 * Below this fraction of a pool's slots that the limits of its servers let requests hold, slots are
 * not what is scarce: tiers share the grants instead.
 */
const LIMITED_FRACTION = 0.5;
/** Weight of one grant in the shares of the tiers. */
const GRANT_WEIGHT = 0.05;
const INITIAL_DURATION: Milliseconds = 400;
const DURATION_WEIGHT = 0.05;

interface SlotSharingPolicy {
  /** Records a tier that has requests; its duration counts as the initial one until measured. */
  recordArrival(tier: TierRank): void;
  recordDuration(tier: TierRank, duration: Milliseconds): void;
  getDuration(tier: TierRank): Milliseconds;
  recordGrant(tier: TierRank): void;
  /** Returns whether a request of this group may take a slot. */
  evaluate(group: SlotRequester, counts: SlotCounts): SlotEligibility;
}

/**
 * Decides how tiers share a pool's slots under load. Long responses of a lower tier hold their
 * slots for seconds and cannot be preempted, so they leave some slots free for the start of a burst
 * of requests of higher tiers. Each tier keeps a small floor.
 */
export default function createSlotSharingPolicy(): SlotSharingPolicy {
  const durations = new Map<TierRank, MovingAverage>();
  const grantShares = new Map<TierRank, MovingAverage>();

  /** Returns the average duration; reading it records nothing. */
  function getDuration(tier: TierRank): Milliseconds {
    return durations.get(tier)?.get() ?? INITIAL_DURATION;
  }

  function getAverageDuration(tier: TierRank): MovingAverage {
    let average = durations.get(tier);
    if (average === undefined) {
      // The expected wait follows from it: held against short requests for tens of responses, the
      // initial value refuses what can be served in time.
      average = createMovingAverage({
        initial: INITIAL_DURATION,
        weight: DURATION_WEIGHT,
        isInitialAssumed: true,
      });
      durations.set(tier, average);
    }
    return average;
  }

  /** Returns the share of the slots that this tier leaves to the tiers above it. */
  function getHeadroom(tier: TierRank): number {
    const above = [...durations].filter(([other]) => other < tier);
    if (above.length === 0) {
      return 0;
    }
    const shortest = Math.min(...above.map(([, average]) => average.get()));
    const multiple = getDuration(tier) / Math.max(shortest, 1) - 1;
    return Math.min(Math.max(multiple * HEADROOM_PER_MULTIPLE, 0), MAXIMUM_HEADROOM);
  }

  return {
    recordArrival(tier) {
      getAverageDuration(tier);
    },
    recordDuration: (tier, duration) => getAverageDuration(tier).add(duration),
    getDuration,
    recordGrant(tier) {
      if (!grantShares.has(tier)) {
        grantShares.set(tier, createMovingAverage({ initial: 0, weight: GRANT_WEIGHT }));
      }
      grantShares.forEach((share, other) => share.add(other === tier ? 1 : 0));
    },
    evaluate({ tier, isReturning }, { total, inUse, sustained, getTierInUse }) {
      const floorShare = FLOOR_SHARE * (isReturning ? RETURNING_FLOOR_FRACTION : 1);
      if (sustained < total * LIMITED_FRACTION) {
        return (grantShares.get(tier)?.get() ?? 0) < floorShare ? 'belowFloor' : 'free';
      }
      if (getTierInUse(tier) + 1 <= total * floorShare) {
        return 'belowFloor';
      }
      const headroom = getHeadroom(tier) * (isReturning ? RETURNING_HEADROOM_FACTOR : 1);
      return inUse + 1 <= total * (1 - headroom) || headroom === 0 ? 'free' : 'kept';
    },
  };
}
