import { describe, it } from 'node:test';
import { expect } from 'earl';
import createSlotSharingPolicy from './createSlotSharingPolicy';
import type { SlotEligibility } from './types';

interface Case {
  readonly name: string;
  readonly tier: number;
  readonly isReturning: boolean;
  /** Slots in use of 36, by all tiers and by this one. */
  readonly slotsInUse: number;
  readonly tierSlotsInUse: number;
  readonly expected: SlotEligibility;
}

const cases: readonly Case[] = [
  {
    name: 'highest tier',
    tier: 0,
    isReturning: false,
    slotsInUse: 36,
    tierSlotsInUse: 30,
    expected: 'free',
  },
  {
    name: 'below its floor',
    tier: 1,
    isReturning: false,
    slotsInUse: 36,
    tierSlotsInUse: 5,
    expected: 'belowFloor',
  },
  {
    name: 'at its floor',
    tier: 1,
    isReturning: false,
    slotsInUse: 36,
    tierSlotsInUse: 6,
    expected: 'kept',
  },
  {
    name: 'few slots free',
    tier: 1,
    isReturning: false,
    slotsInUse: 27,
    tierSlotsInUse: 10,
    expected: 'kept',
  },
  {
    name: 'many slots free',
    tier: 1,
    isReturning: false,
    slotsInUse: 26,
    tierSlotsInUse: 10,
    expected: 'free',
  },
  {
    name: 'first slot of the floor',
    tier: 1,
    isReturning: true,
    slotsInUse: 36,
    tierSlotsInUse: 0,
    expected: 'belowFloor',
  },
  {
    name: 'rest of the floor',
    tier: 1,
    isReturning: true,
    slotsInUse: 36,
    tierSlotsInUse: 1,
    expected: 'kept',
  },
  {
    name: 'slots kept for fresh requests',
    tier: 1,
    isReturning: true,
    slotsInUse: 26,
    tierSlotsInUse: 10,
    expected: 'kept',
  },
  {
    name: 'half of the slots free',
    tier: 1,
    isReturning: true,
    slotsInUse: 18,
    tierSlotsInUse: 10,
    expected: 'free',
  },
];

describe('createSlotSharingPolicy', () => {
  cases.forEach(
    ({
      name,
      tier,
      isReturning,
      slotsInUse: inUse,
      tierSlotsInUse: takenByTier,
      expected: claim,
    }) => {
      it(`evaluates a ${isReturning ? 'returning' : 'fresh'} request of tier ${tier}: ${name}`, () => {
        const policy = createSlotSharingPolicy();
        // Responses of tier 1 last four times as long as those of tier 0.
        Array.from({ length: 200 }, () => {
          policy.recordDuration(0, 400);
          return policy.recordDuration(1, 1_600);
        });
        const counts = { total: 36, sustained: 36, inUse, getTierInUse: () => takenByTier };
        expect(policy.evaluate({ tier, isReturning }, counts)).toEqual(claim);
      });
    },
  );
});

describe('tiers of a pool whose servers name limits', () => {
  // Guards against a tier that gets nothing while limits, not slots, bound what a pool takes.
  it('share the grants, each with a floor', () => {
    const policy = createSlotSharingPolicy();
    const counts = { total: 36, sustained: 4, inUse: 2, getTierInUse: () => 1 };
    const granted = { 0: 0, 2: 0 };
    for (let count = 0; count < 200; count += 1) {
      const isBelowFloor = (tier: number): boolean =>
        policy.evaluate({ tier, isReturning: false }, counts) === 'belowFloor';
      // Requests of both tiers wait all the time; one below its floor goes first.
      const tier = !isBelowFloor(0) && isBelowFloor(2) ? 2 : 0;
      policy.recordGrant(tier);
      granted[tier] += 1;
    }
    expect(granted[2]).toBeGreaterThan(25);
    expect(granted[0]).toBeGreaterThan(100);
  });
});
