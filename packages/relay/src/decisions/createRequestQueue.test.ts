import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { QueuedRequest } from '../types';
import createRequestQueue from './createRequestQueue';

interface RequestProperties {
  readonly id: string;
  readonly rank: number;
  readonly floorRank: number;
  readonly tier: number;
  readonly arrivedAt: number;
}

function createRequest({ id, rank, floorRank, tier, arrivedAt }: RequestProperties): QueuedRequest {
  return {
    id,
    priority: {
      rank,
      floorRank,
      isReturning: floorRank > tier,
      tier,
      serveBy: arrivedAt + 400,
      deadlineAt: arrivedAt + 3_000,
    },
    outputTokens: 50,
    excludedServers: new Set(),
    onGranted: () => undefined,
    onRefused: () => undefined,
  };
}

const requests: readonly RequestProperties[] = [
  { id: 'returning', rank: 3.5, floorRank: 3.5, tier: 2, arrivedAt: 0 },
  { id: 'long', rank: 2.4, floorRank: 2, tier: 2, arrivedAt: 1 },
  { id: 'short', rank: 2, floorRank: 2, tier: 2, arrivedAt: 2 },
  { id: 'urgent', rank: 0, floorRank: 0, tier: 0, arrivedAt: 3 },
];

interface Case {
  readonly name: string;
  readonly isServable: (request: QueuedRequest) => boolean;
  readonly next: string | undefined;
  readonly nextForFloor: string | undefined;
}

const cases: readonly Case[] = [
  { name: 'all', isServable: () => true, next: 'urgent', nextForFloor: 'urgent' },
  {
    name: 'the last tier',
    isServable: ({ priority }) => priority.tier === 2,
    next: 'short',
    nextForFloor: 'long',
  },
  {
    name: 'returning ones',
    isServable: ({ priority }) => priority.isReturning,
    next: 'returning',
    nextForFloor: 'returning',
  },
  { name: 'none', isServable: () => false, next: undefined, nextForFloor: undefined },
];

describe('createRequestQueue', () => {
  cases.forEach(({ name, isServable, next, nextForFloor }) => {
    it(`finds the next request by rank, or by floor rank and arrival: ${name}`, () => {
      const queue = createRequestQueue({ getExpectedTimeToFirstData: () => 100 });
      requests.map(createRequest).forEach(queue.add);
      expect(queue.tryFind(isServable)?.id).toEqual(next);
      expect(queue.tryFindByFloorRank(isServable)?.id).toEqual(nextForFloor);
    });
  });
});
