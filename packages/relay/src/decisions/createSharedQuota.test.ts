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
  /** Whether two hosts hear each other at a time. */
  readonly isConnected: (left: number, right: number, now: number) => boolean;
  /** Time at which host 0 restarts without memory; never when absent. */
  readonly restartAt?: number;
  /** What all hosts together may spend in 8 s: rate x 8 s + burst, a tenth more, and a second and a half of the rate. */
  readonly most: number;
  /** What they must be able to spend, so that no quota is wasted. */
  readonly least: number;
}

const cases: readonly Case[] = [
  { name: 'all hear each other', hosts: 6, isConnected: () => true, most: 11_400, least: 8_000 },
  {
    name: 'nobody hears anybody',
    hosts: 6,
    isConnected: () => false,
    most: 11_400,
    least: 7_000,
  },
  {
    name: 'a partition in the middle',
    hosts: 6,
    isConnected: (left, right, now) => now < 4_000 || left < 3 === right < 3,
    most: 11_400,
    least: 7_500,
  },
  {
    name: 'one host is cut off and returns',
    hosts: 6,
    isConnected: (left, right, now) => now < 2_000 || now > 5_000 || (left > 0 && right > 0),
    most: 11_400,
    least: 7_500,
  },
  {
    name: 'a host restarts',
    hosts: 6,
    isConnected: () => true,
    restartAt: 4_000,
    most: 11_400,
    least: 8_000,
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

/** Tells every host what the others have spent, where they hear each other. */
function exchange(fleet: readonly Host[], isConnected: Case['isConnected'], now: number): void {
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

/** What the hosts may spend at this moment. */
function spendOnce(fleet: readonly Pick<Host, 'quota'>[], now: number): number {
  const spenders = fleet.filter(
    ({ quota }) => quota.trySpend('customer', COST, now).kind === 'within',
  );
  return spenders.length * COST;
}

/** Every host spends as much as it may for 8 s after a time to settle; the sum over all hosts. */
function spendAll({ hosts, isConnected, restartAt }: Case): number {
  const fleet = Array.from({ length: hosts }, (_, index) => createHost(index, hosts, -2_000));
  let sum = 0;
  for (let now = -2_000; now < 8_000; now += STEP_MS) {
    if (now === restartAt) {
      fleet[0] = createHost(0, hosts, now);
    }
    sum += now >= 0 ? spendOnce(fleet, now) : 0;
    exchange(fleet, isConnected, now);
  }
  return sum;
}

const DOMAINS = 3;
const HOSTS_OF_A_DOMAIN = 3;
/** Time between two reports, and after which a report has reached all hosts of another domain. */
const REPORT_INTERVAL_MS = 250;
const REPORT_DELAY_MS = 250;

interface DomainCase {
  readonly name: string;
  /** Whether callers of the customer come to this domain. */
  readonly isAsked: (domain: number) => boolean;
  /** Whether domain 0 and the others reach each other. */
  readonly isJoined: (now: number) => boolean;
  /** Time at which the host that reports for domain 0 stops, and another does. */
  readonly reporterStopsAt?: number;
  readonly most: number;
  readonly least: number;
}

// The bounds of the cases above; a report that is late by half a second costs half a second of the rate.
const domainCases: readonly DomainCase[] = [
  {
    name: 'all of them are asked',
    isAsked: () => true,
    isJoined: () => true,
    most: 11_400,
    least: 8_000,
  },
  {
    name: 'one of them is asked for all of it',
    isAsked: (domain) => domain === 0,
    isJoined: () => true,
    most: 11_400,
    least: 8_000,
  },
  {
    name: 'one of them is cut off',
    isAsked: () => true,
    isJoined: (now) => now < 4_000,
    most: 11_400,
    least: 7_500,
  },
  {
    name: 'a reporter stops',
    isAsked: () => true,
    isJoined: () => true,
    reporterStopsAt: 4_000,
    most: 11_400,
    least: 8_000,
  },
];

interface DomainHost {
  readonly name: string;
  readonly domain: number;
  readonly quota: SharedQuota;
}

function createDomainHosts(): readonly DomainHost[] {
  const peers = Array.from({ length: DOMAINS * HOSTS_OF_A_DOMAIN }, (_, index) => ({
    entryHost: `host-${index}`,
    failureDomain: `domain-${Math.floor(index / HOSTS_OF_A_DOMAIN)}`,
  }));
  return peers.map(({ entryHost }, index) => {
    const quota = createSharedQuota({ now: -2_000 });
    quota.setPeers(peers.filter((peer) => peer.entryHost !== entryHost));
    quota.setQuotas(new Map([['customer', QUOTA]]), -2_000);
    return { name: entryHost, domain: Math.floor(index / HOSTS_OF_A_DOMAIN), quota };
  });
}

/** Near hosts hear each other at once; each domain's first running host reports to the other domains. */
function spendInDomains({ isAsked, isJoined, reporterStopsAt }: DomainCase): number {
  const fleet = createDomainHosts();
  const onTheWay: { readonly at: number; readonly deliver: () => void }[] = [];
  let sum = 0;
  for (let now = -2_000; now < 8_000; now += STEP_MS) {
    const stopped = now >= (reporterStopsAt ?? Infinity) ? 'host-0' : undefined;
    const running = fleet.filter(({ name }) => name !== stopped);
    sum +=
      now >= 0
        ? spendOnce(
            running.filter(({ domain }) => isAsked(domain)),
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
    while (onTheWay[0] !== undefined && onTheWay[0].at <= now) {
      onTheWay.shift()?.deliver();
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
          .filter((to) => isJoined(now) || (to.domain === 0) === (domain === 0))
          .forEach((to) =>
            onTheWay.push({ at, deliver: () => to.quota.recordDomainSpending(report, at) }),
          );
        return reporter.name;
      });
    }
  }
  return sum;
}

describe('createSharedQuota', () => {
  cases.forEach((testCase) => {
    it(`keeps the sum within the quota when ${testCase.name}`, () => {
      const sum = spendAll(testCase);
      expect(sum).toBeLessThanOrEqual(testCase.most);
      expect(sum).toBeGreaterThanOrEqual(testCase.least);
    });
  });

  domainCases.forEach((testCase) => {
    it(`keeps the sum over three failure domains when ${testCase.name}`, () => {
      const sum = spendInDomains(testCase);
      expect(sum).toBeLessThanOrEqual(testCase.most);
      expect(sum).toBeGreaterThanOrEqual(testCase.least);
    });
  });

  it('gives back the cost of a request that did not run', () => {
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
