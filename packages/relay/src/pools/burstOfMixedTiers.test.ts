import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import createTestQueue from '../testing/createTestQueue';
import type { ServerState, QueuedRequest } from '../types';

/** A kind of request: its tier, arrival rate, service time and objective. */
interface Kind {
  readonly tier: number;
  readonly perSecond: number;
  readonly serviceTime: number;
  readonly objective: number;
}

interface ServedCounts {
  offered: number;
  inTime: number;
}

interface Case {
  readonly name: string;
  /** Factor on every arrival rate from second 5 to 10. */
  readonly burst: number;
  /** Minimum share of requests served in time, by tier, over the whole run. */
  readonly minimumShares: readonly number[];
}

const kinds: readonly Kind[] = [
  { tier: 0, perSecond: 23, serviceTime: 490, objective: 500 },
  { tier: 1, perSecond: 28, serviceTime: 310, objective: 400 },
  { tier: 2, perSecond: 9, serviceTime: 1_580, objective: 400 },
];

// Of 36 slots, the normal load takes 34; a burst of 1.7 would take 58. In a burst of 2.5 the top
// tier takes 28 and the last tier's floor 5, which leaves tier 1 three of the 22 that it needs: half
// of its requests over the run.
const cases: readonly Case[] = [
  { name: 'no burst', burst: 1, minimumShares: [0.97, 0.95, 0.5] },
  { name: 'a burst of 1.7', burst: 1.7, minimumShares: [0.95, 0.85, 0.25] },
  { name: 'a burst of 2.5', burst: 2.5, minimumShares: [0.9, 0.5, 0.15] },
];

/** Simulates 15 s of arrivals in virtual time. */
function simulate(burst: number): readonly ServedCounts[] {
  const clock = createVirtualClock();
  const random = createRandom(11);
  const queue = createTestQueue({ clock, servers: 6, slots: 6 });
  const served: ServedCounts[] = kinds.map(() => ({ offered: 0, inTime: 0 }));

  function serve(server: ServerState, kind: Kind, arrivedAt: number): void {
    const firstDataAfter = 110;
    const isInTime = clock.now() + firstDataAfter - arrivedAt <= kind.objective;
    served[kind.tier]!.inTime += isInTime ? 1 : 0;
    clock.after(kind.serviceTime * (0.5 + random.next()), () =>
      queue.completeAttempt(server, kind.tier, {
        end: { kind: 'whole', status: 200 },
        duration: kind.serviceTime,
        firstDataAfter,
        laterChunks: 0,
        laterTime: 0,
        outputTokens: 50,
      }),
    );
  }

  function arrive(kind: Kind): void {
    const now = clock.now();
    served[kind.tier]!.offered += 1;
    const request: QueuedRequest = {
      id: `${kind.tier}-${served[kind.tier]!.offered}`,
      priority: {
        rank: kind.tier,
        floorRank: kind.tier,
        isReturning: false,
        tier: kind.tier,
        serveBy: now + kind.objective,
        deadlineAt: now + 5_000,
      },
      outputTokens: 50,
      excludedServers: new Set(),
      onGranted: (server) => serve(server, kind, now),
      onRefused: () => undefined,
    };
    queue.enqueue(request);
  }

  function scheduleArrival(kind: Kind): void {
    const factor = clock.now() >= 5_000 && clock.now() < 10_000 ? burst : 1;
    const gap = (-Math.log(1 - random.next()) * 1_000) / (kind.perSecond * factor);
    clock.after(gap, () => {
      arrive(kind);
      scheduleArrival(kind);
    });
  }

  kinds.forEach(scheduleArrival);
  clock.advance(15_000);
  return served;
}

describe('a pool saturated by the highest tier', () => {
  it('accepts a request of a tier below its floor, however many of a higher tier wait', () => {
    const clock = createVirtualClock();
    const queue = createTestQueue({ clock, servers: 6, slots: 6 });
    const createRequest = (tier: number, index: number): QueuedRequest => ({
      id: `${tier}-${index}`,
      priority: {
        rank: tier,
        floorRank: tier,
        isReturning: false,
        tier,
        serveBy: 500,
        deadlineAt: 5_000,
      },
      outputTokens: 50,
      excludedServers: new Set(),
      onGranted: () => undefined,
      onRefused: () => undefined,
    });
    const urgent = Array.from({ length: 200 }, (_, index) =>
      queue.enqueue(createRequest(0, index)),
    );
    expect(urgent.at(-1)).toEqual({ kind: 'refused', reason: 'expectedLate' });
    expect(queue.enqueue(createRequest(2, 0))).toEqual({ kind: 'waiting' });
  });
});

describe('a burst of mixed tiers', () => {
  cases.forEach(({ name, burst, minimumShares }) => {
    it(`serves the expected share of each tier in time: ${name}`, () => {
      simulate(burst).forEach(({ offered, inTime }, tier) => {
        expect(inTime / offered).toBeGreaterThanOrEqual(minimumShares[tier]!);
      });
    });
  });
});
