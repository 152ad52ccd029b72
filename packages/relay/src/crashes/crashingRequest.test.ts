import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestCallers from '../testing/createTestCallers';
import createTestEngines from '../testing/createTestEngines';
import createTestFleet from '../testing/createTestFleet';
import disturbances from '../testing/disturbances';
import playCrashDay from '../testing/playCrashDay';
import type { SeenCall, TestCall } from '../testing/types';

type CrashDayOptions = Parameters<typeof playCrashDay>[0];
type CrashDay = Awaited<ReturnType<typeof playCrashDay>>;

const { cutOff, freeze, listSchedulers, restart } = disturbances;

/** Figures of the platform's rules BUDGET and LOST. */
const RULE_CRASHES = 3;
const RULE_REQUESTS = 3;
const RULE_SOUND_SHARE = 0.5;
/** Time after which a fleet that starts together is settled. */
const START_TIME = 12_000;
const LARGE_BODY = 'x'.repeat(1_000_000);

interface RequestCase extends Omit<CrashDayOptions, 'crashing'> {
  readonly name: string;
  /** Calls that crash engines, by a name. */
  readonly calls: Readonly<Record<string, TestCall>>;
}

const SMALL = { hosts: 9, domains: 3, serversPerDomain: 2, soundRate: 30, crashingRate: 3 };
const LARGE = { hosts: 195, domains: 6, serversPerDomain: 11, soundRate: 250, crashingRate: 10 };
const LOOKUP: TestCall = { target: '/lookup/1', body: 'bad1', customer: 'customer-a' };
const ORDER: TestCall = { target: '/order/1', body: 'bad2', customer: 'customer-a' };
const DRAFT: TestCall = { target: '/chat', body: 'bad3', promptParts: ['first', 'session1'] };

/** The same caller's other calls, its other bodies on the path, and others' calls with that body. */
const NEIGHBOURS: readonly TestCall[] = [
  { target: '/lookup/1', customer: 'customer-a' },
  { target: '/lookup/1', body: 'popular', customer: 'customer-a' },
  { target: '/lookup/2', body: 'bad1', customer: 'customer-a' },
  { target: '/lookup/1', body: 'bad1', customer: 'customer-b' },
  { target: '/order/1', customer: 'customer-a' },
  { target: '/chat', promptParts: ['first', 'session1'] },
  { target: '/chat', body: 'popular', promptParts: ['first', 'session1'] },
];

function createNeighbour(session: string): TestCall {
  return NEIGHBOURS[Number(session.slice('session'.length)) % NEIGHBOURS.length]!;
}

const cases: readonly RequestCase[] = [
  { ...SMALL, name: '3 hosts', hosts: 3, domains: 1, serversPerDomain: 3, calls: { LOOKUP } },
  // With these seeds, a sound call is at each of the servers that the crashing one ends.
  ...[31, 35].map((seed) => ({
    ...SMALL,
    seed,
    name: `3 hosts, seed ${seed}`,
    hosts: 3,
    domains: 1,
    serversPerDomain: 3,
    calls: { LOOKUP },
  })),
  { ...SMALL, name: '9 hosts, an idempotent call', calls: { LOOKUP } },
  { ...SMALL, name: '9 hosts, a call that may run once', calls: { ORDER } },
  { ...SMALL, name: '9 hosts, a stream', calls: { DRAFT } },
  { ...SMALL, name: '9 hosts, a large body', calls: { LARGE: { ...LOOKUP, body: LARGE_BODY } } },
  {
    ...SMALL,
    name: '9 hosts, no body',
    calls: { EMPTY: { ...LOOKUP, body: '' } },
  },
  { ...SMALL, name: '9 hosts, often', crashingRate: 20, calls: { LOOKUP } },
  { ...SMALL, name: '9 hosts, seldom', crashingRate: 0.6, calls: { LOOKUP } },
  { ...SMALL, name: '9 hosts, several at once', calls: { LOOKUP, ORDER, DRAFT } },
  {
    ...SMALL,
    name: '9 hosts, several bodies on one path',
    crashingRate: 1.5,
    calls: {
      FIRST: { ...LOOKUP, body: 'bad4' },
      SECOND: { ...LOOKUP, body: 'bad5' },
      THIRD: { ...LOOKUP, body: 'bad6' },
      FOURTH: { ...LOOKUP, body: 'bad7' },
    },
  },
  {
    ...SMALL,
    name: '9 hosts, some of which restart',
    calls: { LOOKUP },
    disturb: (fleet) => restart(fleet, 4_000, [0, 4]),
  },
  {
    ...SMALL,
    name: '9 hosts, all of which are killed at once',
    crashingRate: 1.5,
    calls: { LOOKUP },
    disturb: (fleet) => restart(fleet, 8_000, [...fleet.hosts.keys()]),
  },
  {
    ...SMALL,
    name: '9 hosts, some of which freeze',
    calls: { LOOKUP },
    disturb: (fleet) => freeze(fleet, fleet.hosts.slice(0, 3)),
  },
  {
    ...SMALL,
    name: '9 hosts, a failure domain of which is cut off',
    calls: { LOOKUP },
    disturb: (fleet) =>
      cutOff(
        fleet,
        fleet.hosts.filter(({ domain }) => domain === 'domain-0'),
      ),
  },
  { ...LARGE, name: '195 hosts', calls: { LOOKUP } },
  { ...LARGE, name: '195 hosts, several at once', calls: { LOOKUP, ORDER, DRAFT } },
  {
    ...LARGE,
    name: '195 hosts, the schedulers of which freeze',
    calls: { LOOKUP },
    disturb: (fleet) => freeze(fleet, listSchedulers(fleet)),
  },
  {
    ...LARGE,
    name: '195 hosts, some of which serve alone',
    calls: { LOOKUP },
    disturb: (fleet) =>
      cutOff(
        fleet,
        listSchedulers(fleet).filter(({ domain }) => domain < 'domain-3'),
      ),
  },
];

function isSameCall(call: TestCall, seen: SeenCall): boolean {
  return (
    seen.target === call.target &&
    seen.body === call.body &&
    seen.customer === (call.customer ?? '')
  );
}

function toCrashDayOptions(requestCase: RequestCase): CrashDayOptions {
  const crashing = Object.entries(requestCase.calls).map(([name, call]) => [
    name,
    { createCall: () => call, isCrashing: (seen: SeenCall) => isSameCall(call, seen) },
  ]);
  return {
    createSoundCall: createNeighbour,
    ...requestCase,
    crashing: Object.fromEntries(crashing),
  };
}

describe('a request that ends each server which begins to run it', () => {
  cases.forEach((requestCase) => {
    let day: Promise<CrashDay> | undefined;
    const playOnce = (): Promise<CrashDay> => {
      day ??= playCrashDay(toCrashDayOptions(requestCase));
      return day;
    };
    const names = Object.keys(requestCase.calls);

    // Guards against sending a request on and on, under new identifiers, to servers that it ends.
    it(`reaches no server once three have ended under it: ${requestCase.name}`, async () => {
      const played = await playOnce();
      names.forEach((name) =>
        expect(played.countLateArrivals(name, RULE_CRASHES)).toBeLessThanOrEqual(RULE_REQUESTS),
      );
    });

    // Guards against refusing, with the request, its caller, its path or its body.
    it(`leaves the sound requests beside it served: ${requestCase.name}`, async () => {
      const played = await playOnce();
      const { before, after } = played.getSoundShares(RULE_CRASHES);
      expect(after).toBeGreaterThanOrEqual(before * RULE_SOUND_SHARE);
      expect(played.listQuarantined()).toEqual([]);
    });
  });
});

interface PopularCase {
  readonly name: string;
  readonly rate: number;
  readonly createCall: (draw: number) => TestCall;
}

const popularCases: readonly PopularCase[] = [
  {
    name: 'all with one content',
    rate: 40,
    createCall: () => ({ target: '/lookup/1', body: 'popular', customer: 'customer-a' }),
  },
  {
    name: 'of a few contents',
    rate: 40,
    createCall: (draw) => ({ target: '/lookup/1', body: `b${draw % 5}`, customer: 'customer-a' }),
  },
  {
    name: 'of many contents, each seldom',
    rate: 30,
    createCall: (draw) => ({ target: '/lookup/1', body: `b${draw}`, customer: 'customer-a' }),
  },
  {
    name: 'of orders',
    rate: 30,
    createCall: (draw) => ({ target: '/order/1', body: `b${draw % 5}`, customer: 'customer-a' }),
  },
];

describe('sound requests that come again and again', () => {
  popularCases.forEach(({ name, rate, createCall }) => {
    [5, 6, 7].forEach((seed) => {
      // Guards against refusing popular requests whose servers end for reasons of their own.
      it(`are not quarantined while servers end by themselves: ${name}, seed ${seed}`, async () => {
        const fleet = await createTestFleet({ ...SMALL, seed });
        const engines = createTestEngines(fleet);
        const callers = createTestCallers({ fleet });
        await fleet.advance(START_TIME, 20);
        callers.sendOften(rate, () => createCall(fleet.random.integer(0, 59)));
        for (let round = 0; round < 12; round += 1) {
          await fleet.advance(1_300);
          engines.crashAtRandom();
        }
        await fleet.advance(3_000);
        callers.stop();
        const quarantined = fleet.hosts.map(({ core }) => core.crashGuard.countQuarantined());
        expect(quarantined.filter((count) => count > 0)).toEqual([]);
      });
    });
  });
});
