import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import createTestQueue from '../testing/createTestQueue';
import type { RelayCustomer } from '../types';

const SERVERS = 3;
const SLOTS = 12;
/** Each server is given one request beyond its slots. */
const IN_FLIGHT = SLOTS + SERVERS;
const FIRST_DATA_AFTER = 50;

/** What a customer asks for, and the slots that it uses on average of those in use. */
interface Demand {
  readonly customer: string | undefined;
  readonly tier: number;
  readonly perSecond: number;
  readonly serviceTime: number;
  readonly weight?: number;
}

interface Case {
  readonly name: string;
  readonly demands: readonly Demand[];
  /** Part of the slot time that each demand gets, and by how much it may differ. */
  readonly parts: readonly number[];
}

const HOT: Demand = { customer: 'hot', tier: 0, perSecond: 200, serviceTime: 200 };

const cases: readonly Case[] = [
  {
    name: 'equally between equal customers, whatever each asks for',
    demands: [HOT, { ...HOT, customer: 'busy', perSecond: 80 }],
    parts: [0.5, 0.5],
  },
  {
    name: 'by weight',
    demands: [HOT, { ...HOT, customer: 'heavy', weight: 3 }],
    parts: [0.25, 0.75],
  },
  {
    name: 'by work, not by the number of requests',
    demands: [HOT, { ...HOT, customer: 'long', perSecond: 40, serviceTime: 1_000 }],
    parts: [0.5, 0.5],
  },
  {
    name: 'to a higher tier first, but for the floor of the lower one',
    demands: [HOT, { ...HOT, customer: 'low', tier: 1, perSecond: 20 }],
    // The floor is 0.18 of the slots, so 2 of the requests in flight.
    parts: [13 / IN_FLIGHT, 2 / IN_FLIGHT],
  },
  {
    name: 'with what one customer does not use',
    demands: [HOT, { ...HOT, customer: 'small', perSecond: 12 }],
    // 12 requests a second hold 2.4 slots.
    parts: [12.6 / IN_FLIGHT, 2.4 / IN_FLIGHT],
  },
];
/** Random arrivals differ from their rate by this much over the run. */
const TOLERANCE = 0.05;

/** Plays the demands for 20 s; returns the slot time of each, and the order of the grants. */
function play(demands: readonly Demand[]) {
  const clock = createVirtualClock();
  const random = createRandom(7);
  const customers = demands.flatMap(({ customer, weight }): RelayCustomer[] =>
    customer === undefined
      ? []
      : [{ name: customer, keys: [], tier: undefined, quota: undefined, weight }],
  );
  const queue = createTestQueue({ clock, servers: SERVERS, slots: SLOTS / SERVERS, customers });
  const work = demands.map(() => 0);
  const grants: string[] = [];
  let sent = 0;

  function arrive({ customer, tier, serviceTime }: Demand, index: number): void {
    const now = clock.now();
    sent += 1;
    const id = `request-${sent}`;
    queue.enqueue({
      id,
      customer,
      priority: {
        rank: tier,
        floorRank: tier,
        isReturning: false,
        tier,
        serveBy: now + 400,
        deadlineAt: now + 10_000,
      },
      outputTokens: 50,
      excludedServers: new Set(),
      onGranted(server) {
        grants.push(`${id} ${server.listed.id}`);
        work[index]! += serviceTime;
        clock.after(serviceTime, () =>
          queue.completeAttempt(
            server,
            tier,
            {
              end: { kind: 'whole', status: 200 },
              duration: serviceTime,
              firstDataAfter: FIRST_DATA_AFTER,
              laterChunks: 0,
              laterTime: 0,
              outputTokens: 50,
            },
            customer,
          ),
        );
      },
      onRefused: () => undefined,
    });
  }

  function scheduleNext(demand: Demand, index: number): void {
    clock.after((-Math.log(1 - random.next()) * 1_000) / demand.perSecond, () => {
      arrive(demand, index);
      scheduleNext(demand, index);
    });
  }

  demands.forEach(scheduleNext);
  clock.advance(20_000);
  const total = work.reduce((sum, each) => sum + each, 0);
  return { parts: work.map((each) => each / total), grants };
}

describe('createFairSharing', () => {
  cases.forEach(({ name, demands, parts }) => {
    // Guards against a customer's part that follows from how much it asks for.
    it(`shares scarce slots ${name}`, () => {
      play(demands).parts.forEach((part, index) => {
        expect(Math.abs(part - parts[index]!)).toBeLessThanOrEqual(TOLERANCE);
      });
    });
  });

  // Guards against a change of decisions in a pool that has slots for all.
  it('changes nothing in a pool with spare capacity', () => {
    const demands = ['a', 'b', 'c'].map((customer) => ({ ...HOT, customer, perSecond: 6 }));
    const anonymous = demands.map((demand) => ({ ...demand, customer: undefined }));
    expect(play(demands).grants).toEqual(play(anonymous).grants);
  });
});
