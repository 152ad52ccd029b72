import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import createTestQueue from '../testing/createTestQueue';
import type { Pools } from '../pools/types';
import createServerSpeeds from '../speed/createServerSpeeds';
import createLocalAdmission from './createLocalAdmission';
import type { SlotGrant } from './types';

const OBJECTIVE = 400;
const SERVICE_TIME = 300;
const FIRST_DATA = 100;
/** Six servers of six slots run 120 requests a second. */
const CAPACITY = 120;
const BURST_START = 2_000;
const BURST_END = 4_000;
const END = 12_000;

interface BurstCase {
  readonly name: string;
  /** Time for which callers wait for the first data. */
  readonly patience: number | undefined;
  readonly burst: number;
}

/** Plays a burst within a steady load of 0.7; returns the shares served in time and late. */
function simulate({ patience, burst }: BurstCase) {
  const clock = createVirtualClock();
  const random = createRandom(7);
  const queue = createTestQueue({ clock, servers: 6, slots: 6 });
  const admission = createLocalAdmission({
    clock,
    random,
    pools: { getQueue: () => queue, speeds: createServerSpeeds() } as unknown as Pools,
    quota: {
      trySpend: () => ({ kind: 'within' }),
      refund: () => undefined,
    } as unknown as Parameters<typeof createLocalAdmission>[0]['quota'],
  });
  const counts = { offered: 0, inTime: 0, late: 0, beyondPatience: 0 };

  function serve(grant: SlotGrant, arrivedAt: number): void {
    const wait = clock.now() + FIRST_DATA - arrivedAt;
    counts.inTime += wait <= OBJECTIVE ? 1 : 0;
    counts.late += wait > OBJECTIVE ? 1 : 0;
    counts.beyondPatience += wait > (patience ?? OBJECTIVE) + FIRST_DATA ? 1 : 0;
    const duration = SERVICE_TIME * (0.5 + random.next());
    clock.after(duration, () =>
      grant.complete({
        end: { kind: 'whole', status: 200 },
        duration,
        firstDataAfter: FIRST_DATA,
        laterChunks: 0,
        laterTime: 0,
        outputTokens: 50,
      }),
    );
  }

  function arrive(): void {
    const now = clock.now();
    counts.offered += 1;
    admission.requestSlot({
      requestId: String(counts.offered),
      pool: 'pool',
      customer: undefined,
      cost: 0,
      priority: {
        rank: 0,
        floorRank: 0,
        isReturning: false,
        tier: 0,
        serveBy: now + OBJECTIVE,
        serveLateBy: patience === undefined ? undefined : now + patience,
        deadlineAt: now + 10_000,
      },
      outputTokens: 50,
      excludedServers: new Set(),
      onGranted: (grant) => serve(grant, now),
      onRefused: () => undefined,
    });
  }

  function scheduleArrival(): void {
    const isBurst = clock.now() >= BURST_START && clock.now() < BURST_END;
    const rate = CAPACITY * (isBurst ? burst : 0.7);
    clock.after((-Math.log(1 - random.next()) * 1_000) / rate, () => {
      arrive();
      scheduleArrival();
    });
  }

  scheduleArrival();
  clock.advance(END);
  const { offered, inTime, late, beyondPatience } = counts;
  return { inTime: inTime / offered, served: (inTime + late) / offered, beyondPatience };
}

describe('late service after a burst', () => {
  const cases = [
    { name: 'a burst of 1.5', burst: 1.5 },
    { name: 'a burst of 2', burst: 2 },
  ];
  for (const { name, burst } of cases) {
    it(`serves requests late that would be refused, and no fewer in time: ${name}`, () => {
      const before = simulate({ name, burst, patience: undefined });
      const after = simulate({ name, burst, patience: 1_600 });
      expect(after.served).toBeGreaterThan(before.served + 0.02);
      expect(after.inTime).toBeGreaterThanOrEqual(before.inTime - 0.01);
      expect(after.beyondPatience).toEqual(0);
    });
  }
});
