import type { CustomerId, EntryHostId, Milliseconds, Random } from '@rattanreel/core';
import type { Quota, RelayBounds } from '../types';
import type { SharedQuota } from './types';

const MILLISECONDS_PER_SECOND = 1_000;
/**
 * Share of the burst that hosts use; the rest covers what two hosts spend before each receives the
 * other's report.
 */
const USABLE_BURST_SHARE = 0.8;
/**
 * A host without a summary for this long counts as unreachable: its part of every quota is left to
 * it. Summaries are sent every 200 ms, or less often by a host with many recipients.
 */
const UNREACHABLE_AFTER: Milliseconds = 600;
/**
 * Part of the allowed excess that hosts whose share is smaller than a request may overdraw
 * together.
 */
const OVERDRAWN_SLACK_SHARE = 0.75;

interface SharedQuotaOptions {
  readonly now: Milliseconds;
  readonly random: Random;
  /** Read on each use, since a reload of the settings may change the value. */
  readonly bounds: Pick<RelayBounds, 'quotaSlack'>;
}

interface Bucket {
  quota: Quota;
  level: number;
  refilledAt: Milliseconds;
  spent: number;
  /** Random position of this host among those of the fleet, in [0, 1). */
  readonly position: number;
}

interface HostSpending {
  incarnation: string;
  receivedAt: Milliseconds;
  hosts: number;
  spent: Readonly<Record<CustomerId, number>>;
}

/**
 * Maintains one token bucket per customer, shared by all hosts. Each host keeps the whole bucket
 * and deducts what the others report as spent. The share of unreachable hosts is left to them, so
 * that the total stays within the quota during a network partition. A new process starts with empty
 * buckets. In a large fleet the hosts that schedule a failure domain spend for all of its hosts.
 */
export default function createSharedQuota(options: SharedQuotaOptions): SharedQuota {
  const { random, bounds } = options;
  const buckets = new Map<CustomerId, Bucket>();
  const spendingByHost = new Map<EntryHostId, HostSpending>();
  let fleetHosts = 1;
  let ownHosts = 1;

  /** Returns the share of each quota that this host and the reachable ones may use together. */
  function getReachableShare(now: Milliseconds): number {
    let reachable = ownHosts;
    spendingByHost.forEach(({ receivedAt, hosts }) => {
      reachable += now - receivedAt <= UNREACHABLE_AFTER ? hosts : 0;
    });
    return Math.min(reachable / fleetHosts, 1);
  }

  function getMaximumLevel({ quota }: Bucket, share: number): number {
    return quota.burst * USABLE_BURST_SHARE * share;
  }

  function refill(bucket: Bucket, now: Milliseconds, share: number): void {
    const refilled =
      (bucket.quota.ratePerSecond * share * (now - bucket.refilledAt)) / MILLISECONDS_PER_SECOND;
    const maximumLevel = getMaximumLevel(bucket, share);
    bucket.level = Math.min(
      Math.max(bucket.level, Math.min(bucket.level + refilled, maximumLevel)),
      maximumLevel,
    );
    bucket.refilledAt = now;
  }

  /**
   * Returns the level from which a request may be served; the level may become negative. A host on
   * its own in a large fleet has a share smaller than one request: of those hosts, as many may
   * overdraw as the allowed excess covers.
   */
  function getRequiredLevel(bucket: Bucket, cost: number, share: number): number {
    const required = Math.min(cost, getMaximumLevel(bucket, 1)) / 2;
    const available = getMaximumLevel(bucket, share) / 2;
    const overdrawingHosts = (bounds.quotaSlack * OVERDRAWN_SLACK_SHARE) / Math.max(cost, 1);
    const mayOverdraw = bucket.position < overdrawingHosts / fleetHosts;
    return mayOverdraw ? Math.min(required, available) : required;
  }

  return {
    setQuotas(quotas, now) {
      [...buckets.keys()]
        .filter((customer) => !quotas.has(customer))
        .forEach((customer) => buckets.delete(customer));
      quotas.forEach((quota, customer) => {
        const bucket = buckets.get(customer);
        if (bucket === undefined) {
          const position = random.next();
          buckets.set(customer, { quota, level: 0, refilledAt: now, spent: 0, position });
          return;
        }
        refill(bucket, now, getReachableShare(now));
        bucket.quota = quota;
        bucket.level = Math.min(bucket.level, quota.burst * USABLE_BURST_SHARE);
      });
    },
    setFleet(next) {
      fleetHosts = Math.max(next.fleetHosts, next.ownHosts, 1);
      ownHosts = next.ownHosts;
    },
    recordHostSpending({ from, incarnation, spent, now, hosts }) {
      const before = spendingByHost.get(from);
      const isSameIncarnation = before?.incarnation === incarnation;
      if (before !== undefined) {
        Object.entries(spent).forEach(([customer, total]) => {
          const bucket = buckets.get(customer);
          const countedTotal = isSameIncarnation ? (before.spent[customer] ?? 0) : 0;
          if (bucket !== undefined) {
            bucket.level -= total - countedTotal;
            // The spending of a host that this one schedules is reported as this host's own.
            bucket.spent += hosts === 0 ? total - countedTotal : 0;
          }
        });
      }
      spendingByHost.set(from, { incarnation, receivedAt: now, hosts, spent });
    },
    trySpend(customer, cost, now) {
      const bucket = buckets.get(customer);
      if (bucket === undefined) {
        return { kind: 'within' };
      }
      const share = getReachableShare(now);
      refill(bucket, now, share);
      if (bucket.level < getRequiredLevel(bucket, cost, share)) {
        const missing = cost / 2 - bucket.level;
        const rate = Math.max(bucket.quota.ratePerSecond, 1);
        return { kind: 'over', retryAfter: (missing / rate) * MILLISECONDS_PER_SECOND };
      }
      bucket.level -= cost;
      bucket.spent += cost;
      return { kind: 'within' };
    },
    refund(customer, cost) {
      const bucket = buckets.get(customer);
      if (bucket !== undefined) {
        bucket.level += cost;
        bucket.spent -= cost;
      }
    },
    getSpent: () =>
      Object.fromEntries([...buckets].map(([customer, bucket]) => [customer, bucket.spent])),
  };
}
