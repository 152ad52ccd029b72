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
  readonly hears: (left: number, right: number, now: number) => boolean;
  /** Time at which host 0 restarts without memory; never when absent. */
  readonly restartAt?: number;
  /** What all hosts together may spend in 8 s: rate x 8 s + burst, a tenth more, and a second and a half of the rate. */
  readonly most: number;
  /** What they must be able to spend, so that no quota is wasted. */
  readonly least: number;
}

const cases: readonly Case[] = [
  { name: 'all hear each other', hosts: 6, hears: () => true, most: 11_400, least: 8_000 },
  {
    name: 'nobody hears anybody',
    hosts: 6,
    hears: () => false,
    most: 11_400,
    least: 7_000,
  },
  {
    name: 'a partition in the middle',
    hosts: 6,
    hears: (left, right, now) => now < 4_000 || left < 3 === right < 3,
    most: 11_400,
    least: 7_500,
  },
  {
    name: 'one host is cut off and returns',
    hosts: 6,
    hears: (left, right, now) => now < 2_000 || now > 5_000 || (left > 0 && right > 0),
    most: 11_400,
    least: 7_500,
  },
  {
    name: 'a host restarts',
    hosts: 6,
    hears: () => true,
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
  const names = Array.from({ length: hosts }, (_, each) => `host-${each}`);
  quota.setPeers(names.filter((name) => name !== `host-${index}`));
  quota.setQuotas(new Map([['customer', QUOTA]]), now);
  return { quota, incarnation: `${index} at ${now}` };
}

/** Tells every host what the others have spent, where they hear each other. */
function exchange(fleet: readonly Host[], hears: Case['hears'], now: number): void {
  fleet.forEach((from, left) =>
    fleet.forEach((to, right) => {
      if (left !== right && hears(left, right, now)) {
        const { incarnation } = from;
        to.quota.hear({ from: `host-${left}`, incarnation, spent: from.quota.spent(), now });
      }
    }),
  );
}

/** What the hosts may spend at this moment. */
function spendOnce(fleet: readonly Host[], now: number): number {
  const spenders = fleet.filter(
    ({ quota }) => quota.trySpend('customer', COST, now).kind === 'within',
  );
  return spenders.length * COST;
}

/** Every host spends as much as it may for 8 s after a time to settle; the sum over all hosts. */
function spendAll({ hosts, hears, restartAt }: Case): number {
  const fleet = Array.from({ length: hosts }, (_, index) => createHost(index, hosts, -2_000));
  let sum = 0;
  for (let now = -2_000; now < 8_000; now += STEP_MS) {
    if (now === restartAt) {
      fleet[0] = createHost(0, hosts, now);
    }
    sum += now >= 0 ? spendOnce(fleet, now) : 0;
    exchange(fleet, hears, now);
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

  it('gives back the cost of a request that did not run', () => {
    const { quota } = createHost(0, 1, 0);
    expect(quota.trySpend('customer', 800, 1_000).kind).toEqual('within');
    expect(quota.trySpend('customer', 800, 1_000).kind).toEqual('over');
    quota.giveBack('customer', 800);
    expect(quota.trySpend('customer', 800, 1_000).kind).toEqual('within');
  });

  it('does not limit a customer without a quota', () => {
    expect(createSharedQuota({ now: 0 }).trySpend('other', 1e9, 0).kind).toEqual('within');
  });
});
