import { describe, it } from 'node:test';
import { expect } from 'earl';
import createSlotSharingPolicy from './createSlotSharingPolicy';
import type { SlotEligibility } from './types';

interface Case {
  readonly name: string;
  readonly tier: number;
  readonly isReturning: boolean;
  /** Slots in use of 36, by all tiers and by this one. */
  readonly taken: number;
  readonly takenByTier: number;
  readonly claim: SlotEligibility;
}

const cases: readonly Case[] = [
  { name: 'highest tier', tier: 0, isReturning: false, taken: 36, takenByTier: 30, claim: 'free' },
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
    name: 'few slots free',
    tier: 1,
    isReturning: false,
    taken: 27,
    takenByTier: 10,
    claim: 'kept',
  },
  {
    name: 'many slots free',
    tier: 1,
    isReturning: false,
    taken: 26,
    takenByTier: 10,
    claim: 'free',
  },
  {
    name: 'first slot of the floor',
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
    name: 'slots kept for fresh requests',
    tier: 1,
    isReturning: true,
    taken: 26,
    takenByTier: 10,
    claim: 'kept',
  },
  {
    name: 'half of the slots free',
    tier: 1,
    isReturning: true,
    taken: 18,
    takenByTier: 10,
    claim: 'free',
  },
];

describe('createSlotSharingPolicy', () => {
  cases.forEach(({ name, tier, isReturning, taken: inUse, takenByTier, claim }) => {
    it(`evaluates a ${isReturning ? 'returning' : 'fresh'} request of tier ${tier}: ${name}`, () => {
      const policy = createSlotSharingPolicy();
      // Responses of tier 1 last four times as long as those of tier 0.
      Array.from({ length: 200 }, () => {
        policy.recordDuration(0, 400);
        return policy.recordDuration(1, 1_600);
      });
      const counts = { total: 36, inUse, getTierInUse: () => takenByTier };
      expect(policy.evaluate({ tier, isReturning }, counts)).toEqual(claim);
    });
  });
});
