import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '@rattanreel/core';
import createSharedQuota from './createSharedQuota';
import type { SharedQuota } from './types';

const QUOTA = { ratePerSecond: 1_000, burst: 1_000, countsTokens: true, plainCost: 1 };
const STEP_MS = 10;
const COST = 20;

interface Case {
  readonly name: string;
  readonly hosts: number;
  /** Whether two hosts receive each other's summaries at a time. */
  readonly isConnected: (left: number, right: number, now: number) => boolean;
  /** Time at which host 0 restarts with empty state; undefined means never. */
  readonly restartAt?: number;
  /** Maximum total spent in 8 s: 1.1 times (rate x 8 s + burst), plus 1.5 s of the rate. */
  readonly maximumTotal: number;
  /** Minimum total that must be granted, so that no quota is wasted. */
  readonly minimumTotal: number;
}

const cases: readonly Case[] = [
  {
    name: 'all hosts are connected',
    hosts: 6,
    isConnected: () => true,
    maximumTotal: 11_400,
    minimumTotal: 8_000,
  },
  {
    name: 'no hosts are connected',
    hosts: 6,
    isConnected: () => false,
    maximumTotal: 11_400,
    minimumTotal: 7_000,
  },
  {
    name: 'the network is partitioned halfway',
    hosts: 6,
    isConnected: (left, right, now) => now < 4_000 || left < 3 === right < 3,
    maximumTotal: 11_400,
    minimumTotal: 7_500,
  },
  {
    name: 'one host is disconnected and reconnects',
    hosts: 6,
    isConnected: (left, right, now) => now < 2_000 || now > 5_000 || (left > 0 && right > 0),
    maximumTotal: 11_400,
    minimumTotal: 7_500,
  },
  {
    name: 'a host restarts',
    hosts: 6,
    isConnected: () => true,
    restartAt: 4_000,
    maximumTotal: 11_400,
    minimumTotal: 8_000,
  },
];

interface Host {
  quota: SharedQuota;
  incarnation: string;
  readonly ownHosts: number;
}

/** Gives each host of the tests its position in the fleet. */
const random = createRandom(3);

interface HostOptions {
  readonly hosts: number;
  /** Number of hosts for which this one spends. */
  readonly ownHosts?: number;
  readonly quotaSlack?: number;
}

function createHost(index: number, now: number, options: HostOptions): Host {
  const { hosts, ownHosts = 1, quotaSlack = 0 } = options;
  const quota = createSharedQuota({ now, random, bounds: { quotaSlack } });
  quota.setFleet({ fleetHosts: hosts, ownHosts });
  quota.setQuotas(new Map([['customer', QUOTA]]), now);
  return { quota, incarnation: `${index} at ${now}`, ownHosts };
}

/** Delivers what each host has spent to every other host that it is connected to. */
function deliverSpending(
  fleet: readonly Host[],
  isConnected: Case['isConnected'],
  now: number,
): void {
  fleet.forEach((from, left) =>
    fleet.forEach((to, right) => {
      if (left !== right && isConnected(left, right, now)) {
        const { incarnation, ownHosts } = from;
        to.quota.recordHostSpending({
          from: `host-${left}`,
          incarnation,
          hosts: ownHosts,
          spent: from.quota.getSpent(),
          now,
        });
      }
    }),
  );
}

/** Lets every host spend once; returns the total cost granted. */
function spendOnce(fleet: readonly Pick<Host, 'quota'>[], now: number): number {
  const spenders = fleet.filter(
    ({ quota }) => quota.trySpend('customer', COST, now).kind === 'within',
  );
  return spenders.length * COST;
}

/** Lets every host spend as much as it may for 8 s after a warm-up of 2 s; returns the total. */
function spendAll({ hosts, isConnected, restartAt }: Case): number {
  const fleet = Array.from({ length: hosts }, (_, index) => createHost(index, -2_000, { hosts }));
  let sum = 0;
  for (let now = -2_000; now < 8_000; now += STEP_MS) {
    if (now === restartAt) {
      fleet[0] = createHost(0, now, { hosts });
    }
    sum += now >= 0 ? spendOnce(fleet, now) : 0;
    deliverSpending(fleet, isConnected, now);
  }
  return sum;
}

const DOMAINS = 3;
const HOSTS_PER_DOMAIN = 30;
/** Interval of the summaries between the schedulers, and their delay. */
const SUMMARY_INTERVAL_MS = 200;

interface DomainCase {
  readonly name: string;
  /** Whether this domain receives requests of the customer. */
  readonly receivesRequests: (domain: number) => boolean;
  /** Whether domain 0 is connected to the others. */
  readonly isConnected: (now: number) => boolean;
  /** Time at which another host takes over as the scheduler of domain 0, with an empty bucket. */
  readonly replacedAt?: number;
  readonly maximumTotal: number;
  readonly minimumTotal: number;
}

// The limits are those of the cases above. A summary that is late by 0.5 s costs 0.5 s of the rate.
const domainCases: readonly DomainCase[] = [
  {
    name: 'all of them receive requests',
    receivesRequests: () => true,
    isConnected: () => true,
    maximumTotal: 11_400,
    minimumTotal: 8_000,
  },
  {
    name: 'one of them receives all requests',
    receivesRequests: (domain) => domain === 0,
    isConnected: () => true,
    maximumTotal: 11_400,
    minimumTotal: 8_000,
  },
  {
    name: 'one of them is partitioned from the others',
    receivesRequests: () => true,
    isConnected: (now) => now < 4_000,
    maximumTotal: 11_400,
    minimumTotal: 7_500,
  },
  {
    name: 'a scheduler is replaced',
    receivesRequests: () => true,
    isConnected: () => true,
    replacedAt: 4_000,
    maximumTotal: 11_400,
    minimumTotal: 8_000,
  },
];

/** Simulates spending by the schedulers of several failure domains; returns the total. */
function spendInDomains({ receivesRequests, isConnected, replacedAt }: DomainCase): number {
  const options = { hosts: DOMAINS * HOSTS_PER_DOMAIN, ownHosts: HOSTS_PER_DOMAIN };
  const fleet = Array.from({ length: DOMAINS }, (_, index) => createHost(index, -2_000, options));
  let sum = 0;
  for (let now = -2_000; now < 8_000; now += STEP_MS) {
    if (now === replacedAt) {
      fleet[0] = createHost(DOMAINS, now, options);
    }
    sum +=
      now >= 0
        ? spendOnce(
            fleet.filter((_, domain) => receivesRequests(domain)),
            now,
          )
        : 0;
    if (now % SUMMARY_INTERVAL_MS === 0) {
      deliverSpending(fleet, (left, right, at) => isConnected(at) || (left > 0 && right > 0), now);
    }
  }
  return sum;
}

interface IsolationCase {
  readonly name: string;
  readonly quotaSlack: number;
  readonly maximumTotal: number;
  readonly minimumTotal: number;
}

// 200 hosts on their own, each with a share of 5 of each 1,000 a second: smaller than a request.
const isolationCases: readonly IsolationCase[] = [
  {
    name: 'nothing beyond the quota is allowed',
    quotaSlack: 0,
    maximumTotal: 9_900,
    minimumTotal: 0,
  },
  {
    name: 'a slack of 2,000 is allowed',
    quotaSlack: 2_000,
    maximumTotal: 11_900,
    minimumTotal: 1_000,
  },
];

describe('createSharedQuota', () => {
  cases.forEach((testCase) => {
    it(`keeps the total within the quota when ${testCase.name}`, () => {
      const sum = spendAll(testCase);
      expect(sum).toBeLessThanOrEqual(testCase.maximumTotal);
      expect(sum).toBeGreaterThanOrEqual(testCase.minimumTotal);
    });
  });

  domainCases.forEach((testCase) => {
    it(`keeps the total of three schedulers within the quota when ${testCase.name}`, () => {
      const sum = spendInDomains(testCase);
      expect(sum).toBeLessThanOrEqual(testCase.maximumTotal);
      expect(sum).toBeGreaterThanOrEqual(testCase.minimumTotal);
    });
  });

  isolationCases.forEach(({ name, quotaSlack, maximumTotal, minimumTotal }) => {
    it(`keeps the total of hosts on their own within the bound when ${name}`, () => {
      const hosts = 200;
      const fleet = Array.from({ length: hosts }, (_, index) =>
        createHost(index, -2_000, { hosts, quotaSlack }),
      );
      let sum = 0;
      for (let now = 0; now < 8_000; now += STEP_MS) {
        sum += spendOnce(fleet, now);
      }
      expect(sum).toBeLessThanOrEqual(maximumTotal);
      expect(sum).toBeGreaterThanOrEqual(minimumTotal);
    });
  });

  it('refunds the cost of a request that did not run', () => {
    const { quota } = createHost(0, 0, { hosts: 1 });
    expect(quota.trySpend('customer', 800, 1_000).kind).toEqual('within');
    expect(quota.trySpend('customer', 800, 1_000).kind).toEqual('over');
    quota.refund('customer', 800);
    expect(quota.trySpend('customer', 800, 1_000).kind).toEqual('within');
  });

  it('previews what it decides; guards against a preview that spends or refills', () => {
    const play = (previews: number): readonly unknown[] => {
      const { quota } = createHost(0, 0, { hosts: 1 });
      return Array.from({ length: 200 }, (_, index) => {
        const now = index * 37;
        const foretold = Array.from({ length: previews }, () =>
          quota.preview('customer', 60, now - (index % 3)),
        );
        const { decision } = quota.preview('customer', 60, now);
        const decided = quota.trySpend('customer', 60, now);
        expect(decision).toEqual(decided);
        expect(foretold.length).toEqual(previews);
        return [decided, quota.getSpent()];
      });
    };
    expect(play(5)).toEqual(play(0));
  });

  it('does not limit a customer without a quota', () => {
    const { quota } = createHost(0, 0, { hosts: 1 });
    expect(quota.trySpend('other', 1e9, 0).kind).toEqual('within');
  });
});
