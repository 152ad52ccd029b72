import { describe, it } from 'node:test';
import { expect } from 'earl';
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
}

function createHost(index: number, hosts: number, now: number): Host {
  const quota = createSharedQuota({ now });
  const peers = Array.from({ length: hosts }, (_, each) => ({
    entryHost: `host-${each}`,
    failureDomain: 'near',
  }));
  quota.setPeers(peers.filter(({ entryHost }) => entryHost !== `host-${index}`));
  quota.setQuotas(new Map([['customer', QUOTA]]), now);
  return { quota, incarnation: `${index} at ${now}` };
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
        const { incarnation } = from;
        to.quota.recordHostSpending({
          from: `host-${left}`,
          incarnation,
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
  const fleet = Array.from({ length: hosts }, (_, index) => createHost(index, hosts, -2_000));
  let sum = 0;
  for (let now = -2_000; now < 8_000; now += STEP_MS) {
    if (now === restartAt) {
      fleet[0] = createHost(0, hosts, now);
    }
    sum += now >= 0 ? spendOnce(fleet, now) : 0;
    deliverSpending(fleet, isConnected, now);
  }
  return sum;
}

const DOMAINS = 3;
const HOSTS_PER_DOMAIN = 3;
/** Interval of the reports, and delay after which one has reached all hosts of another domain. */
const REPORT_INTERVAL_MS = 250;
const REPORT_DELAY_MS = 250;

interface DomainCase {
  readonly name: string;
  /** Whether this domain receives requests of the customer. */
  readonly receivesRequests: (domain: number) => boolean;
  /** Whether domain 0 is connected to the others. */
  readonly isConnected: (now: number) => boolean;
  /** Time at which the reporter of domain 0 stops and another host replaces it. */
  readonly reporterStopsAt?: number;
  readonly maximumTotal: number;
  readonly minimumTotal: number;
}

// The limits are those of the cases above. A report that is late by 0.5 s costs 0.5 s of the rate.
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
    name: 'a reporter stops',
    receivesRequests: () => true,
    isConnected: () => true,
    reporterStopsAt: 4_000,
    maximumTotal: 11_400,
    minimumTotal: 8_000,
  },
];

interface DomainHost {
  readonly name: string;
  readonly domain: number;
  readonly quota: SharedQuota;
}

function createDomainHosts(): readonly DomainHost[] {
  const peers = Array.from({ length: DOMAINS * HOSTS_PER_DOMAIN }, (_, index) => ({
    entryHost: `host-${index}`,
    failureDomain: `domain-${Math.floor(index / HOSTS_PER_DOMAIN)}`,
  }));
  return peers.map(({ entryHost }, index) => {
    const quota = createSharedQuota({ now: -2_000 });
    quota.setPeers(peers.filter((peer) => peer.entryHost !== entryHost));
    quota.setQuotas(new Map([['customer', QUOTA]]), -2_000);
    return { name: entryHost, domain: Math.floor(index / HOSTS_PER_DOMAIN), quota };
  });
}

/**
 * Simulates spending in several domains; returns the total. Hosts of a domain receive each other's
 * summaries at once, and the first running host of each domain reports to the other domains.
 */
function spendInDomains({ receivesRequests, isConnected, reporterStopsAt }: DomainCase): number {
  const fleet = createDomainHosts();
  const pendingDeliveries: { readonly at: number; readonly deliver: () => void }[] = [];
  let sum = 0;
  for (let now = -2_000; now < 8_000; now += STEP_MS) {
    const stopped = now >= (reporterStopsAt ?? Infinity) ? 'host-0' : undefined;
    const running = fleet.filter(({ name }) => name !== stopped);
    sum +=
      now >= 0
        ? spendOnce(
            running.filter(({ domain }) => receivesRequests(domain)),
            now,
          )
        : 0;
    running.forEach((from) =>
      running
        .filter((to) => to !== from && to.domain === from.domain)
        .forEach((to) => {
          const spent = from.quota.getSpent();
          to.quota.recordHostSpending({ from: from.name, incarnation: 'one', spent, now });
        }),
    );
    while (pendingDeliveries[0] !== undefined && pendingDeliveries[0].at <= now) {
      pendingDeliveries.shift()?.deliver();
    }
    if (now % REPORT_INTERVAL_MS === 0) {
      Array.from({ length: DOMAINS }, (_, domain) => {
        const reporter = running.find((host) => host.domain === domain)!;
        const report = {
          kind: 'domain' as const,
          failureDomain: `domain-${domain}`,
          entryHost: reporter.name,
          incarnation: 'one',
          inFlight: {},
          ...reporter.quota.getReachableSpent(now),
        };
        const at = now + REPORT_DELAY_MS;
        running
          .filter((to) => to.domain !== domain)
          .filter((to) => isConnected(now) || (to.domain === 0) === (domain === 0))
          .forEach((to) =>
            pendingDeliveries.push({
              at,
              deliver: () => to.quota.recordDomainSpending(report, at),
            }),
          );
        return reporter.name;
      });
    }
  }
  return sum;
}

describe('createSharedQuota', () => {
  cases.forEach((testCase) => {
    it(`keeps the total within the quota when ${testCase.name}`, () => {
      const sum = spendAll(testCase);
      expect(sum).toBeLessThanOrEqual(testCase.maximumTotal);
      expect(sum).toBeGreaterThanOrEqual(testCase.minimumTotal);
    });
  });

  domainCases.forEach((testCase) => {
    it(`keeps the total over three failure domains within the quota when ${testCase.name}`, () => {
      const sum = spendInDomains(testCase);
      expect(sum).toBeLessThanOrEqual(testCase.maximumTotal);
      expect(sum).toBeGreaterThanOrEqual(testCase.minimumTotal);
    });
  });

  it('refunds the cost of a request that did not run', () => {
    const { quota } = createHost(0, 1, 0);
    expect(quota.trySpend('customer', 800, 1_000).kind).toEqual('within');
    expect(quota.trySpend('customer', 800, 1_000).kind).toEqual('over');
    quota.refund('customer', 800);
    expect(quota.trySpend('customer', 800, 1_000).kind).toEqual('within');
  });

  it('does not limit a customer without a quota', () => {
    expect(createSharedQuota({ now: 0 }).trySpend('other', 1e9, 0).kind).toEqual('within');
  });
});
