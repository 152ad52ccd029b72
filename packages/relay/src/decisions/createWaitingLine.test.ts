import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { WaitingRequest } from '../types';
import createWaitingLine from './createWaitingLine';

interface Asked {
  readonly id: string;
  readonly rank: number;
  readonly floorRank: number;
  readonly tier: number;
  readonly arrivedAt: number;
}

function createRequest({ id, rank, floorRank, tier, arrivedAt }: Asked): WaitingRequest {
  return {
    id,
    urgency: {
      rank,
      floorRank,
      isReturning: floorRank > tier,
      tier,
      serveBy: arrivedAt + 400,
      deadlineAt: arrivedAt + 3_000,
    },
    outputTokens: 50,
    avoid: new Set(),
    onGranted: () => undefined,
    onRefused: () => undefined,
  };
}

const asked: readonly Asked[] = [
  { id: 'returning', rank: 3.5, floorRank: 3.5, tier: 2, arrivedAt: 0 },
  { id: 'long', rank: 2.4, floorRank: 2, tier: 2, arrivedAt: 1 },
  { id: 'short', rank: 2, floorRank: 2, tier: 2, arrivedAt: 2 },
  { id: 'urgent', rank: 0, floorRank: 0, tier: 0, arrivedAt: 3 },
];

interface Case {
  readonly name: string;
  readonly isServable: (request: WaitingRequest) => boolean;
  readonly next: string | undefined;
  readonly nextForFloor: string | undefined;
}

const cases: readonly Case[] = [
  { name: 'all', isServable: () => true, next: 'urgent', nextForFloor: 'urgent' },
  {
    name: 'the last tier',
    isServable: ({ urgency }) => urgency.tier === 2,
    next: 'short',
    nextForFloor: 'long',
  },
  {
    name: 'returning ones',
    isServable: ({ urgency }) => urgency.isReturning,
    next: 'returning',
    nextForFloor: 'returning',
  },
  { name: 'none', isServable: () => false, next: undefined, nextForFloor: undefined },
];

describe('createWaitingLine', () => {
  cases.forEach(({ name, isServable, next, nextForFloor }) => {
    it(`finds the next request by rank, and for a floor by arrival: ${name}`, () => {
      const line = createWaitingLine({ getExpectedTime: () => 100 });
      asked.map(createRequest).forEach(line.add);
      expect(line.tryFind(isServable)?.id).toEqual(next);
      expect(line.tryFindForFloor(isServable)?.id).toEqual(nextForFloor);
    });
  });
});
