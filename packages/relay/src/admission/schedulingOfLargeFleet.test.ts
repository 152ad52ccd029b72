import { describe, it } from 'node:test';
import { expect } from 'earl';
import createTestFleet from '../testing/createTestFleet';
import createTestLoad from '../testing/createTestLoad';

type TestFleet = Awaited<ReturnType<typeof createTestFleet>>;
type TestHost = TestFleet['hosts'][number];

const DOMAINS = 6;
/** Time after which a fleet that starts together is settled; traffic starts 16 s after it. */
const START_TIME = 12_000;

async function createSettledFleet(hosts: number, serversPerDomain: number): Promise<TestFleet> {
  const fleet = await createTestFleet({ hosts, domains: DOMAINS, serversPerDomain });
  await fleet.advance(START_TIME, 20);
  return fleet;
}

function listSchedulers({ hosts }: TestFleet): readonly TestHost[] {
  return hosts.filter(({ core, isDown }) => !isDown && core.getRole().ownHosts > 1);
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(values.length, 1);
}

describe('the start of a large fleet', () => {
  [30, 100, 300].forEach((size) => {
    it(`gives each failure domain one scheduler, and all hosts their state, at ${size} hosts`, async () => {
      const fleet = await createSettledFleet(size, 5);
      expect(listSchedulers(fleet).length).toEqual(DOMAINS);
      expect(fleet.hosts.filter(({ core }) => !core.hasClusterState()).length).toEqual(0);
      expect(fleet.countWatchers()).toEqual(DOMAINS);
      const scheduled = listSchedulers(fleet).reduce(
        (sum, { core }) => sum + core.getRole().ownHosts,
        0,
      );
      expect(scheduled).toEqual(size);
    });
  });

  it('lets the hosts with the most capacity schedule', async () => {
    const fleet = await createSettledFleet(60, 5);
    const largeHosts = fleet.hosts.slice(0, 3 * DOMAINS).map(({ name }) => name);
    listSchedulers(fleet).forEach(({ name }) => expect(largeHosts.includes(name)).toEqual(true));
  });

  it('registers a number of hosts that does not grow with the fleet', async () => {
    const small = await createSettledFleet(100, 5);
    const large = await createSettledFleet(300, 5);
    expect(large.countRegistered()).toBeLessThanOrEqual(small.countRegistered() * 1.5);
    expect(large.countRegistered()).toBeLessThanOrEqual(20 * DOMAINS);
  });
});

describe('the traffic between the hosts of a large fleet', () => {
  /** Messages a second of hosts under the same load each, with servers in proportion. */
  async function measure(size: number): Promise<{ ordinary: number; scheduler: number }> {
    const fleet = await createSettledFleet(size, Math.ceil(size / DOMAINS / 3));
    const load = createTestLoad({ fleet, ratePerHost: 3.7, serviceTime: 250 });
    fleet.resetTraffic();
    await fleet.advance(4_000, 20);
    load.stop();
    const schedulers = new Set(listSchedulers(fleet));
    const ordinary = fleet.hosts.filter((host) => !schedulers.has(host));
    return {
      ordinary: getMean(ordinary.map(({ traffic }) => traffic.messages)) / 4,
      scheduler: getMean([...schedulers].map(({ traffic }) => traffic.messages)) / 4,
    };
  }

  it('does not grow with the fleet at an ordinary host, and in proportion at a scheduler', async () => {
    const small = await measure(30);
    const large = await measure(300);
    expect(large.ordinary).toBeLessThanOrEqual(small.ordinary * 1.2);
    expect(large.ordinary).toBeLessThanOrEqual(25);
    // Ten times the hosts a domain; messages to the other schedulers are bounded by time.
    expect(large.scheduler).toBeLessThanOrEqual(small.scheduler * 10);
  });
});

interface LossCase {
  readonly name: string;
  readonly lose: (fleet: TestFleet, schedulers: readonly TestHost[]) => void;
  readonly restore: (fleet: TestFleet, schedulers: readonly TestHost[]) => void;
}

const lossCases: readonly LossCase[] = [
  {
    name: 'lose their power',
    lose: (_, schedulers) =>
      schedulers.forEach((host) => {
        host.isDown = true;
      }),
    restore: () => undefined,
  },
  {
    name: 'freeze and wake again',
    lose: (_, schedulers) =>
      schedulers.forEach((host) => {
        host.isFrozen = true;
      }),
    restore: (_, schedulers) =>
      schedulers.forEach((host) => {
        host.isFrozen = false;
      }),
  },
  {
    name: 'are cut off from all others',
    lose: (fleet, schedulers) =>
      fleet.setReachable((from, to) => !schedulers.includes(from) && !schedulers.includes(to)),
    restore: (fleet) => fleet.setReachable(() => true),
  },
  {
    name: 'stop as planned',
    lose: (_, schedulers) => schedulers.forEach(({ core }) => core.resign()),
    restore: () => undefined,
  },
  {
    name: 'stop as planned and end',
    lose: (_, schedulers) => schedulers.forEach(({ core }) => core.resign()),
    restore: (_, schedulers) =>
      schedulers.forEach((host) => {
        void host.core.stop();
        host.isDown = true;
      }),
  },
  {
    name: 'stop as planned together with half of the hosts that they schedule',
    lose: ({ hosts }, schedulers) =>
      hosts
        .filter((host, index) => schedulers.includes(host) || index % 2 === 0)
        .forEach(({ core }) => core.resign()),
    restore: () => undefined,
  },
];

describe('the loss of all schedulers of a large fleet', () => {
  lossCases.forEach(({ name, lose, restore }) => {
    it(`neither holds requests up nor leaks slots when they ${name}`, async () => {
      const fleet = await createSettledFleet(60, 6);
      const load = createTestLoad({ fleet, ratePerHost: 4, serviceTime: 250 });
      await fleet.advance(2_000);
      const lost = listSchedulers(fleet);
      const lostAt = fleet.clock.now();
      lose(fleet, lost);
      await fleet.advance(4_000);
      restore(fleet, lost);
      await fleet.advance(4_000);
      load.stop();
      await fleet.advance(3_000);
      const asked = load.requests.filter(
        ({ host, askedAt }) => askedAt >= lostAt && !lost.includes(host),
      );
      const served = asked.filter(({ grantedAt }) => grantedAt !== undefined);
      expect(served.length / asked.length).toBeGreaterThanOrEqual(0.99);
      // 120 ms until the loss is noticed, 100 ms for the next scheduler, and the wait for a slot.
      const longest = Math.max(...served.map(({ askedAt, grantedAt }) => grantedAt! - askedAt));
      expect(longest).toBeLessThanOrEqual(400);
      const leaked = fleet.hosts
        .filter(({ isDown }) => !isDown)
        .flatMap(({ core }) => [...core.pools.countOwnInFlight().values()]);
      expect(load.countInFlight()).toEqual(0);
      expect(leaked).toEqual([]);
    });
  });

  it('keeps the servers within their slots and two more while nothing is lost', async () => {
    const fleet = await createSettledFleet(60, 6);
    const load = createTestLoad({ fleet, ratePerHost: 8, serviceTime: 250 });
    await fleet.advance(6_000);
    load.stop();
    expect(load.getMostInFlight()).toBeLessThanOrEqual(6);
    const late = load.requests.filter(
      ({ askedAt, grantedAt = Infinity }) =>
        grantedAt - askedAt > 300 && askedAt < fleet.clock.now() - 500,
    );
    expect(late.length / load.requests.length).toBeLessThanOrEqual(0.02);
  });
});

describe('the quota of a customer over a large fleet', () => {
  const quota = { ratePerSecond: 20_000, burst: 20_000, countsTokens: true, plainCost: 1 };
  const cost = 1_000;

  const cutCases: readonly { readonly name: string; readonly cut: boolean }[] = [
    { name: 'all hosts are connected', cut: false },
    { name: 'a third of the hosts is cut off one by one', cut: true },
  ];

  cutCases.forEach(({ name, cut }) => {
    it(`holds when ${name}`, async () => {
      const fleet = await createTestFleet({
        hosts: 90,
        domains: DOMAINS,
        serversPerDomain: 40,
        configuration: { customers: [{ name: 'customer', keys: [], tier: undefined, quota }] },
      });
      await fleet.advance(START_TIME, 20);
      if (cut) {
        const isCut = ({ name: host }: TestHost): boolean => Number(host.slice(5)) % 3 === 0;
        fleet.setReachable((from, to) => from === to || (!isCut(from) && !isCut(to)));
        await fleet.advance(1_000, 20);
      }
      const load = createTestLoad({
        fleet,
        ratePerHost: 2,
        serviceTime: 100,
        customer: 'customer',
        cost,
      });
      await fleet.advance(8_000, 20);
      load.stop();
      const spent = load.requests.filter(({ grantedAt }) => grantedAt !== undefined).length * cost;
      // The rule: 1.1 times (rate x 8 s + burst), and a slack of 110,000.
      expect(spent).toBeLessThanOrEqual((20_000 * 8 + 20_000) * 1.1 + 110_000);
      // What is asked, 1.44 million, exceeds the quota; most of what is allowed must be granted.
      expect(spent).toBeGreaterThanOrEqual(20_000 * 8 * 0.6);
    });
  });
});
