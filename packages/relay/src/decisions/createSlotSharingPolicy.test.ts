import { describe, it } from 'node:test';
import { expect } from 'earl';
import createSlotSharingPolicy from './createSlotSharingPolicy';
import type { SlotEligibility } from './types';

interface Case {
  readonly name: string;
  readonly tier: number;
  readonly isReturning: boolean;
  /** Of 36 places, those taken by all, and by this tier. */
  readonly taken: number;
  readonly takenByTier: number;
  readonly claim: SlotEligibility;
}

const cases: readonly Case[] = [
  { name: 'urgent', tier: 0, isReturning: false, taken: 36, takenByTier: 30, claim: 'free' },
  {
    name: 'below its floor',
    tier: 1,
    isReturning: false,
    taken: 36,
    takenByTier: 5,
    claim: 'belowFloor',
  },
  { name: 'at its floor', tier: 1, isReturning: false, taken: 36, takenByTier: 6, claim: 'kept' },
  {
    name: 'few places left',
    tier: 1,
    isReturning: false,
    taken: 27,
    takenByTier: 10,
    claim: 'kept',
  },
  {
    name: 'many places left',
    tier: 1,
    isReturning: false,
    taken: 26,
    takenByTier: 10,
    claim: 'free',
  },
  {
    name: 'first place of a floor',
    tier: 1,
    isReturning: true,
    taken: 36,
    takenByTier: 0,
    claim: 'belowFloor',
  },
  {
    name: 'rest of the floor',
    tier: 1,
    isReturning: true,
    taken: 36,
    takenByTier: 1,
    claim: 'kept',
  },
  {
    name: 'places for fresh ones',
    tier: 1,
    isReturning: true,
    taken: 26,
    takenByTier: 10,
    claim: 'kept',
  },
  {
    name: 'half of the places left',
    tier: 1,
    isReturning: true,
    taken: 18,
    takenByTier: 10,
    claim: 'free',
  },
];

describe('createSlotSharingPolicy', () => {
  cases.forEach(({ name, tier, isReturning, taken: inUse, takenByTier, claim }) => {
    it(`judges a ${isReturning ? 'returning' : 'fresh'} request of tier ${tier}: ${name}`, () => {
      const shares = createSlotSharingPolicy();
      // Tier 1's answers last four times as long as tier 0's.
      Array.from({ length: 200 }, () => {
        shares.recordDuration(0, 400);
        return shares.recordDuration(1, 1_600);
      });
      const counts = { total: 36, inUse, getTierInUse: () => takenByTier };
      expect(shares.evaluate({ tier, isReturning }, counts)).toEqual(claim);
    });
  });
});
