import type { CustomerId, EntryHostId, Milliseconds } from '@rattanreel/core';
import type { PeerAddress, Quota } from '../types';
import createDomainReports from './createDomainReports';
import type { SharedQuota } from './types';

const MILLISECONDS_PER_SECOND = 1_000;
/**
 * Share of the burst that hosts use; the rest covers what two hosts spend before each receives the
 * other's report.
 */
const USABLE_BURST_SHARE = 0.8;
/**
 * A host without a summary for this long counts as unreachable: an equal part of every quota is
 * left to it. Summaries are sent every 200 ms, or less often by a host with more than 25
 * recipients.
 */
const UNREACHABLE_AFTER: Milliseconds = 600;

interface SharedQuotaOptions {
  readonly now: Milliseconds;
}

interface Bucket {
  quota: Quota;
  level: number;
  refilledAt: Milliseconds;
  spent: number;
  /** Spent by the hosts whose summaries are received directly, since this process started. */
  heardSpent: number;
}

interface HostSpending {
  incarnation: string;
  receivedAt: Milliseconds;
  spent: Readonly<Record<CustomerId, number>>;
}

/**
 * Maintains one token bucket per customer, shared by all hosts. Each host keeps the whole bucket
 * and deducts what the others report as spent. The share of unreachable hosts is left to them, so
 * that the total stays within the quota during a network partition. A new process starts with empty
 * buckets. In a large fleet, the spending of other failure domains arrives as totals in domain
 * reports.
 */
export default function createSharedQuota(options: SharedQuotaOptions): SharedQuota {
  const buckets = new Map<CustomerId, Bucket>();
  const spendingByHost = new Map<EntryHostId, HostSpending>();
  const reports = createDomainReports();
  let peers: readonly Pick<PeerAddress, 'entryHost' | 'failureDomain'>[] = [];
  const startedAt = options.now;

  /** Returns the share of each quota that the reachable hosts may use together. */
  function getReachableShare(now: Milliseconds): number {
    const unreachablePeers = peers.filter(({ entryHost }) => isUnreachable(entryHost, now));
    const domains = new Set(unreachablePeers.map(({ failureDomain }) => failureDomain));
    const reportedHosts = [...domains].reduce((sum, domain) => {
      const members = unreachablePeers.filter(({ failureDomain }) => failureDomain === domain);
      return sum + Math.min(reports.tryGet(domain, now)?.hosts ?? 0, members.length);
    }, 0);
    return (peers.length + 1 - unreachablePeers.length + reportedHosts) / (peers.length + 1);
  }

  function isUnreachable(host: EntryHostId, now: Milliseconds): boolean {
    return now - (spendingByHost.get(host)?.receivedAt ?? startedAt) > UNREACHABLE_AFTER;
  }

  /** Deducts what was spent between two reports of the same incarnation from the buckets. */
  function deductSpending(
    before: Readonly<Record<CustomerId, number>>,
    after: Readonly<Record<CustomerId, number>>,
  ): void {
    Object.entries(after).forEach(([customer, total]) => {
      const bucket = buckets.get(customer);
      if (bucket !== undefined) {
        bucket.level -= total - (before[customer] ?? 0);
      }
    });
  }

  function refill(bucket: Bucket, now: Milliseconds): void {
    const share = getReachableShare(now);
    const refilled =
      (bucket.quota.ratePerSecond * share * (now - bucket.refilledAt)) / MILLISECONDS_PER_SECOND;
    const maximumLevel = bucket.quota.burst * USABLE_BURST_SHARE * share;
    bucket.level = Math.min(
      Math.max(bucket.level, Math.min(bucket.level + refilled, maximumLevel)),
      maximumLevel,
    );
    bucket.refilledAt = now;
  }

  return {
    setQuotas(quotas, now) {
      [...buckets.keys()]
        .filter((customer) => !quotas.has(customer))
        .forEach((customer) => buckets.delete(customer));
      quotas.forEach((quota, customer) => {
        const bucket = buckets.get(customer);
        if (bucket === undefined) {
          buckets.set(customer, { quota, level: 0, refilledAt: now, spent: 0, heardSpent: 0 });
          return;
        }
        refill(bucket, now);
        bucket.quota = quota;
        bucket.level = Math.min(bucket.level, quota.burst * USABLE_BURST_SHARE);
      });
    },
    setPeers(next) {
      peers = next;
    },
    recordHostSpending({ from, incarnation, spent, now }) {
      const before = spendingByHost.get(from);
      const isSameIncarnation = before?.incarnation === incarnation;
      if (before !== undefined) {
        Object.entries(spent).forEach(([customer, total]) => {
          const bucket = buckets.get(customer);
          const countedTotal = isSameIncarnation ? (before.spent[customer] ?? 0) : 0;
          if (bucket !== undefined) {
            bucket.level -= total - countedTotal;
            bucket.heardSpent += total - countedTotal;
          }
        });
      }
      spendingByHost.set(from, { incarnation, receivedAt: now, spent });
    },
    recordDomainSpending(report, now) {
      const before = reports.record(report, now);
      const counted = reports.tryGet(report.failureDomain, now);
      const isCounted =
        counted?.entryHost === report.entryHost && before?.incarnation === report.incarnation;
      if (isCounted) {
        deductSpending(before.spent, report.spent);
      }
    },
    trySpend(customer, cost, now) {
      const bucket = buckets.get(customer);
      if (bucket === undefined) {
        return { kind: 'within' };
      }
      refill(bucket, now);
      if (bucket.level < Math.min(cost, bucket.quota.burst * USABLE_BURST_SHARE) / 2) {
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
    getReachableSpent: (now) => ({
      hosts: 1 + peers.filter(({ entryHost }) => !isUnreachable(entryHost, now)).length,
      spent: Object.fromEntries(
        [...buckets].map(([customer, { spent, heardSpent }]) => [customer, spent + heardSpent]),
      ),
    }),
    getSpent: () =>
      Object.fromEntries([...buckets].map(([customer, bucket]) => [customer, bucket.spent])),
  };
}
