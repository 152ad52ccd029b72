import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestCallers from '../testing/createTestCallers';
import createTestEngines from '../testing/createTestEngines';
import createTestFleet from '../testing/createTestFleet';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;
type TestHost = TestFleet['hosts'][number];
type TestEngines = ReturnType<typeof createTestEngines>;

/** The platform's `stable-window-ms`, and the figures of its rule LIMIT. */
const STABLE_WINDOW = 3_000;
const RULE_WINDOW = 4_000;
const RULE_FACTOR = 1.5;
const RULE_SLACK = 5;
const RULE_TOLD_BEFORE = 500;
/** Time after which a fleet that starts together is settled. */
const START_TIME = 12_000;
const CALM_TIME = 2_000;
const LIMITED_TIME = 16_000;
/** Part of the named limits that must be used while requests wait for it. */
const MINIMUM_USE = 0.5;

interface LimitCase {
  readonly name: string;
  readonly hosts: number;
  readonly domains: number;
  readonly serversPerDomain: number;
  readonly rate: number;
  /** Names limits at the engines, now and later. */
  readonly limit: (engines: TestEngines, fleet: TestFleet) => Promise<void>;
  /** Hosts that are disturbed, and so excused. */
  readonly excused?: (fleet: TestFleet) => readonly TestHost[];
}

const SMALL = { hosts: 9, domains: 3, serversPerDomain: 2, rate: 30 };
const LARGE = { hosts: 195, domains: 6, serversPerDomain: 6, rate: 200 };

async function limitAll(engines: TestEngines, limit: number): Promise<void> {
  engines.engines.forEach((engine) => engine.setLimit(limit));
}

function listSchedulers({ hosts }: TestFleet): readonly TestHost[] {
  return hosts.filter(({ core, isDown }) => !isDown && core.getRole().ownHosts > 1);
}

const cases: readonly LimitCase[] = [
  {
    ...SMALL,
    name: '3 hosts',
    hosts: 3,
    domains: 1,
    serversPerDomain: 4,
    limit: async ({ engines }) => engines[0]!.setLimit(1.8),
  },
  { ...SMALL, name: '9 hosts', limit: async ({ engines }) => engines[0]!.setLimit(1.3) },
  { ...SMALL, name: '9 hosts, all servers', limit: (engines) => limitAll(engines, 1.8) },
  {
    ...SMALL,
    name: '9 hosts, all servers, hardly anything',
    limit: (engines) => limitAll(engines, 0.1),
  },
  {
    ...SMALL,
    name: '9 hosts, lowered again and again',
    async limit(engines, fleet) {
      await limitAll(engines, 6);
      await fleet.advance(4_000);
      await limitAll(engines, 3);
      await fleet.advance(4_000);
      await limitAll(engines, 1);
    },
  },
  {
    ...SMALL,
    name: '9 hosts, some of which restart',
    async limit(engines, fleet) {
      await limitAll(engines, 2);
      await fleet.advance(4_000);
      await fleet.restart(0);
      await fleet.restart(4);
    },
    excused: ({ hosts }) => [hosts[0]!, hosts[4]!],
  },
  {
    ...SMALL,
    name: '9 hosts, a failure domain of which is cut off',
    async limit(engines, fleet) {
      await limitAll(engines, 2);
      await fleet.advance(2_000);
      const isCut = ({ domain }: TestHost): boolean => domain === 'domain-0';
      fleet.setReachable((from, to) => isCut(from) === isCut(to));
    },
  },
  { ...LARGE, name: '195 hosts, all servers', limit: (engines) => limitAll(engines, 1.8) },
  {
    ...LARGE,
    name: '195 hosts, the schedulers of which are cut off',
    async limit(engines, fleet) {
      await limitAll(engines, 3);
      await fleet.advance(3_000);
      const schedulers = listSchedulers(fleet);
      fleet.setReachable((from, to) => schedulers.includes(from) === schedulers.includes(to));
    },
  },
  {
    ...LARGE,
    name: '195 hosts, all of which serve alone',
    async limit(engines, fleet) {
      await limitAll(engines, 3);
      await fleet.advance(3_000);
      fleet.setReachable(() => false);
    },
  },
];

async function start(
  limitCase: Pick<LimitCase, 'hosts' | 'domains' | 'serversPerDomain' | 'rate'>,
) {
  const fleet = await createTestFleet(limitCase);
  const engines = createTestEngines(fleet);
  const callers = createTestCallers({ fleet });
  await fleet.advance(START_TIME, 20);
  callers.sendOften(limitCase.rate, () => ({ promptParts: ['first'] }));
  await fleet.advance(CALM_TIME);
  return { fleet, engines, callers };
}

type Engine = TestEngines['engines'][number];

/** Returns the highest limit that an engine named in a time. */
function getHighestLimit({ limits }: Engine, from: number, until: number): number {
  const named = limits.filter(
    ({ at }, index) => at < until && (limits[index + 1]?.at ?? Infinity) > from,
  );
  return Math.max(...named.map(({ limit }) => limit ?? Infinity));
}

/** Returns by how much the requests in some window exceed what the rule allows; 0 if they do not. */
function getExcess(engine: Engine, engines: TestEngines, excused: readonly TestHost[]): number {
  const bindsFrom = (engine.limits[0]?.at ?? Infinity) + STABLE_WINDOW;
  const times = engines.arrivals
    .filter(
      ({ at, host, server }) =>
        server === engine.getListed().id &&
        at >= bindsFrom &&
        !excused.includes(host) &&
        at >= (engine.toldAt.get(host) ?? Infinity) + RULE_TOLD_BEFORE,
    )
    .map(({ at }) => at);
  const excesses = times.map((from) => {
    const until = from + RULE_WINDOW;
    const count = times.filter((at) => at >= from && at < until).length;
    const limit = getHighestLimit(engine, from, until);
    return count - (RULE_FACTOR * limit * (RULE_WINDOW / 1_000) + RULE_SLACK);
  });
  return Math.max(0, ...excesses);
}

describe('servers that name a limit', () => {
  cases.forEach((limitCase) => {
    // Guards against giving a server more than the limit that it names, summed over all hosts.
    it(`get no more than it from all hosts together: ${limitCase.name}`, async () => {
      const { fleet, engines, callers } = await start(limitCase);
      await limitCase.limit(engines, fleet);
      await fleet.advance(LIMITED_TIME);
      callers.stop();
      const excused = limitCase.excused?.(fleet) ?? [];
      const excesses = engines.engines.map((engine) => getExcess(engine, engines, excused));
      expect(Math.max(...excesses)).toEqual(0);
    });
  });

  const useCases = [
    { ...SMALL, limit: 2 },
    { ...LARGE, limit: 2 },
  ];
  useCases.forEach((useCase) => {
    // Guards against refusing requests for which limited servers still have room.
    it(`get most of it while requests wait, at ${useCase.hosts} hosts`, async () => {
      const { fleet, engines, callers } = await start(useCase);
      await limitAll(engines, useCase.limit);
      await fleet.advance(STABLE_WINDOW);
      const from = fleet.clock.now();
      await fleet.advance(LIMITED_TIME);
      callers.stop();
      const used = engines.arrivals.filter(({ at }) => at >= from).length;
      const named = (engines.engines.length * useCase.limit * LIMITED_TIME) / 1_000;
      expect(used).toBeGreaterThanOrEqual(named * MINIMUM_USE);
    });

    // Guards against holding on to a limit that a server has taken back.
    it(`are used in full once they take it back, at ${useCase.hosts} hosts`, async () => {
      const { fleet, engines, callers } = await start(useCase);
      const countServed = (from: number): number =>
        callers.requests.filter(({ sentAt, status }) => sentAt >= from && status === 200).length;
      await limitAll(engines, useCase.limit);
      await fleet.advance(8_000);
      engines.engines.forEach((engine) => engine.setLimit(undefined));
      await fleet.advance(STABLE_WINDOW);
      const from = fleet.clock.now();
      await fleet.advance(4_000);
      callers.stop();
      expect(countServed(from)).toBeGreaterThanOrEqual(useCase.rate * 4 * 0.9);
    });
  });
});
