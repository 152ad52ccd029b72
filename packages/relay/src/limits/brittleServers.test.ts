import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestCallers from '../testing/createTestCallers';
import createTestEngines from '../testing/createTestEngines';
import createTestFleet from '../testing/createTestFleet';
import disturbances from '../testing/disturbances';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;
type TestEngines = ReturnType<typeof createTestEngines>;

/** The platform's `stable-window-ms`, and the figures of its rule LIMIT. */
const STABLE_WINDOW = 3_000;
const RULE_FALLS = 2;
const RULE_FALL_SHARE = 1 / 10;
/** Time after which a fleet that starts together is settled. */
const START_TIME = 12_000;
const CALM_TIME = 2_000;
const BRITTLE_TIME = 14_000;
/** Part of the calls that is served at least, of what the same load is served without brittleness. */
const MINIMUM_SHARE = 0.6;

interface BrittleCase {
  readonly name: string;
  readonly hosts: number;
  readonly domains: number;
  readonly serversPerDomain: number;
  readonly rate: number;
  readonly turnAways: number;
  /** Requests that wait at an engine once it is brittle. */
  readonly waiting: number;
  readonly disturb?: (engines: TestEngines, fleet: TestFleet) => Promise<void>;
}

/** Loads of about 0.5, 1 and 2 times what the engines can carry. */
const SMALL = { hosts: 9, domains: 3, serversPerDomain: 2, turnAways: 1, waiting: 0 };
const LARGE = { hosts: 195, domains: 6, serversPerDomain: 11, turnAways: 1, waiting: 0 };

async function crashAll(engines: TestEngines, fleet: TestFleet): Promise<void> {
  await fleet.advance(4_000);
  engines.crashAtRandom();
  engines.crashAtRandom();
}

const cases: readonly BrittleCase[] = [
  { ...SMALL, name: '3 hosts', hosts: 3, domains: 1, serversPerDomain: 3, rate: 60 },
  { ...SMALL, name: '9 hosts, light load', rate: 55 },
  { ...SMALL, name: '9 hosts, full load', rate: 110 },
  { ...SMALL, name: '9 hosts, overload', rate: 220 },
  { ...SMALL, name: '9 hosts, some waiting room', rate: 220, waiting: 2, turnAways: 3 },
  { ...SMALL, name: '9 hosts, engines come back in a burst', rate: 160, disturb: crashAll },
  { ...LARGE, name: '195 hosts, full load', rate: 1_100 },
];

async function play(brittleCase: BrittleCase, turnAways: number | undefined) {
  const fleet = await createTestFleet(brittleCase);
  const engines = createTestEngines(fleet);
  const callers = createTestCallers({ fleet });
  await fleet.advance(START_TIME, 20);
  callers.sendOften(brittleCase.rate, () => ({
    target: '/lookup/1',
    customer: 'customer-a',
  }));
  await fleet.advance(CALM_TIME);
  engines.engines.forEach((engine) => engine.room.setBrittle(turnAways));
  const begunAt = fleet.clock.now();
  await fleet.advance(STABLE_WINDOW);
  engines.engines.forEach((engine) => engine.room.setMaximumWaiting(brittleCase.waiting));
  await brittleCase.disturb?.(engines, fleet);
  await fleet.advance(begunAt + BRITTLE_TIME - fleet.clock.now());
  callers.stop();
  await fleet.advance(3_000);
  const sent = callers.requests.filter(({ sentAt }) => sentAt > begunAt + STABLE_WINDOW);
  const served = sent.filter(({ status }) => status === 200).length;
  return { falls: engines.falls.length, servers: engines.engines.length, served };
}

describe('servers that fall over when they turn away too many requests', () => {
  cases.forEach((brittleCase) => {
    // Guards against sending servers more than they have room for, from hosts that do not know of each other.
    it(`stay up, and serve what they can: ${brittleCase.name}`, async () => {
      const { falls, servers, served } = await play(brittleCase, brittleCase.turnAways);
      expect(falls).toBeLessThanOrEqual(RULE_FALLS + servers * RULE_FALL_SHARE);
      const sound = await play(brittleCase, undefined);
      expect(served).toBeGreaterThanOrEqual(sound.served * MINIMUM_SHARE);
    });
  });
});

/** Multiple of the usual 190 ms of a run: four servers of four slots then run 53 requests a second. */
const SLOWNESS = 1.58;
const SERVED_PER_SECOND = 53;
const UNEVEN_RATE = 140;
/** Part of what the servers can run that is served at least. */
const UNEVEN_SHARE = 0.9;
const UNEVEN_TIME = 10_000;

interface UnevenCase {
  readonly name: string;
  readonly hosts: number;
  readonly domains: number;
  readonly serversPerDomain: number;
  /** Hosts that callers are connected to. */
  readonly calledHosts: number;
}

const SIXTEEN = { hosts: 16, domains: 1, serversPerDomain: 4 };
const DOMAINS = { hosts: 16, domains: 4, serversPerDomain: 1 };
const SIX = { hosts: 6, domains: 2, serversPerDomain: 2 };

const unevenCases: readonly UnevenCase[] = [
  { ...SIXTEEN, name: '16 hosts of one domain, one called', calledHosts: 1 },
  { ...SIXTEEN, name: '16 hosts of one domain, all called', calledHosts: 16 },
  { ...DOMAINS, name: '16 hosts under schedulers, one called', calledHosts: 1 },
  { ...DOMAINS, name: '16 hosts under schedulers, three called', calledHosts: 3 },
  { ...DOMAINS, name: '16 hosts under schedulers, all called', calledHosts: 16 },
  { ...SIX, name: '6 hosts, one called', calledHosts: 1 },
  { ...SIX, name: '6 hosts, all called', calledHosts: 6 },
];

/** Starts a fleet before brittle servers without waiting room, whose brittleness all hosts know. */
async function startUneven({ calledHosts, ...options }: UnevenCase) {
  const fleet = await createTestFleet(options);
  const engines = createTestEngines(fleet);
  const isCalled = ({ name }: { readonly name: string }): boolean =>
    Number(name.slice('host-'.length)) < calledHosts;
  const callers = createTestCallers({ fleet, isCalled });
  await fleet.advance(START_TIME, 20);
  engines.engines.forEach((engine) => {
    engine.setBehaviour({ failShare: 0, slowShare: 1, slowness: SLOWNESS });
    engine.room.setBrittle(1);
  });
  callers.sendOften(UNEVEN_RATE, () => ({ target: '/lookup/1', customer: 'customer-a' }));
  await fleet.advance(STABLE_WINDOW);
  engines.engines.forEach((engine) => engine.room.setMaximumWaiting(0));
  await fleet.advance(1_000);
  const begunAt = fleet.clock.now();
  const turnedAway = (): number =>
    engines.engines.reduce((sum, { room }) => sum + room.countTurnAways(), 0);
  const turnedAwayBefore = turnedAway();
  return {
    fleet,
    engines,
    callers,
    countServed: () =>
      callers.requests.filter(
        ({ status, answeredAt = 0 }) => status === 200 && answeredAt >= begunAt,
      ).length,
    countTurnedAway: () => turnedAway() - turnedAwayBefore,
  };
}

describe('brittle servers before hosts with unequal numbers of callers', () => {
  unevenCases.forEach((unevenCase) => {
    // Guards against slots that lie idle at hosts without requests, and against slots used twice.
    it(`serve what their slots can run: ${unevenCase.name}`, async () => {
      const { fleet, engines, callers, countServed, countTurnedAway } =
        await startUneven(unevenCase);
      await fleet.advance(UNEVEN_TIME);
      callers.stop();
      expect(engines.falls.length).toEqual(0);
      expect(countTurnedAway()).toEqual(0);
      expect(countServed()).toBeGreaterThanOrEqual(
        (SERVED_PER_SECOND * UNEVEN_SHARE * UNEVEN_TIME) / 1_000,
      );
    });
  });

  const partitions: readonly { readonly name: string; readonly cut: readonly number[] }[] = [
    { name: 'the borrower', cut: [0] },
    { name: 'half of the owners', cut: [1, 3, 5] },
    { name: 'the borrower and an owner', cut: [0, 2] },
  ];
  partitions.forEach(({ name, cut }) => {
    // Guards against an owner that uses a slot again while its borrower, out of reach, does too.
    it(`have no slot used by two hosts while a partition cuts off ${name}`, async () => {
      const { fleet, callers, countTurnedAway } = await startUneven({
        ...SIX,
        name,
        calledHosts: 2,
      });
      await fleet.advance(2_000);
      await disturbances.cutOff(
        fleet,
        cut.map((index) => fleet.hosts[index]!),
      );
      await fleet.advance(3_000);
      callers.stop();
      expect(countTurnedAway()).toEqual(0);
    });
  });

  // Guards against schedulers that divide the slots of a domain out of reach, which still uses them.
  it('have no slot used by two hosts while a partition cuts off a scheduled domain', async () => {
    const { fleet, callers, countTurnedAway } = await startUneven({
      ...DOMAINS,
      name: 'a domain cut off',
      calledHosts: 16,
    });
    await fleet.advance(2_000);
    await disturbances.cutOff(
      fleet,
      fleet.hosts.filter(({ domain }) => domain === 'domain-0'),
    );
    await fleet.advance(3_000);
    callers.stop();
    expect(countTurnedAway()).toEqual(0);
  });
});
