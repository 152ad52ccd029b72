import type { CustomerId, EntryHostId, Milliseconds } from '@rattanreel/core';
import type { PeerAddress, Quota } from '../types';
import createDomainReports from './createDomainReports';
import type { SharedQuota } from './types';

const MILLISECONDS_PER_SECOND = 1_000;
/** Part of the burst that hosts use; the rest covers what two hosts spend before each hears of the other. */
const USED_BURST = 0.8;
/** A host not heard of for this long keeps its equal part of every quota; summaries come every 200 ms. */
const SILENT_AFTER: Milliseconds = 600;

interface SharedQuotaOptions {
  readonly now: Milliseconds;
}

interface Bucket {
  quota: Quota;
  level: number;
  at: Milliseconds;
  spent: number;
  /** Spent by hosts heard directly, since this process started. */
  heardSpent: number;
}

interface HeardHost {
  incarnation: string;
  at: Milliseconds;
  spent: Readonly<Record<CustomerId, number>>;
}

/**
 * One token bucket a customer over all hosts. Each host keeps the whole bucket and takes off what the
 * others say they spent. The rate of hosts that are not heard is left to them, so that the sum over
 * a partition stays within the quota. A new process starts with an empty bucket. In a large fleet the
 * other failure domains are heard through reports of their sums.
 */
export default function createSharedQuota(options: SharedQuotaOptions): SharedQuota {
  const buckets = new Map<CustomerId, Bucket>();
  const heard = new Map<EntryHostId, HeardHost>();
  const reports = createDomainReports();
  let peers: readonly Pick<PeerAddress, 'entryHost' | 'failureDomain'>[] = [];
  const startedAt = options.now;

  /** The part of each quota that the hosts in contact may use together. */
  function getReachableShare(now: Milliseconds): number {
    const silent = peers.filter(({ entryHost }) => isSilent(entryHost, now));
    const domains = new Set(silent.map(({ failureDomain }) => failureDomain));
    const told = [...domains].reduce((sum, domain) => {
      const members = silent.filter(({ failureDomain }) => failureDomain === domain);
      return sum + Math.min(reports.tryGet(domain, now)?.hosts ?? 0, members.length);
    }, 0);
    return (peers.length + 1 - silent.length + told) / (peers.length + 1);
  }

  function isSilent(host: EntryHostId, now: Milliseconds): boolean {
    return now - (heard.get(host)?.at ?? startedAt) > SILENT_AFTER;
  }

  /** Takes what was spent between two reports of one life off the buckets. */
  function takeOff(
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
    const gained =
      (bucket.quota.ratePerSecond * share * (now - bucket.at)) / MILLISECONDS_PER_SECOND;
    const most = bucket.quota.burst * USED_BURST * share;
    bucket.level = Math.min(Math.max(bucket.level, Math.min(bucket.level + gained, most)), most);
    bucket.at = now;
  }

  return {
    setQuotas(quotas, now) {
      [...buckets.keys()]
        .filter((customer) => !quotas.has(customer))
        .forEach((customer) => buckets.delete(customer));
      quotas.forEach((quota, customer) => {
        const bucket = buckets.get(customer);
        if (bucket === undefined) {
          buckets.set(customer, { quota, level: 0, at: now, spent: 0, heardSpent: 0 });
          return;
        }
        refill(bucket, now);
        bucket.quota = quota;
        bucket.level = Math.min(bucket.level, quota.burst * USED_BURST);
      });
    },
    setPeers(next) {
      peers = next;
    },
    hear({ from, incarnation, spent, now }) {
      const before = heard.get(from);
      const isSameLife = before?.incarnation === incarnation;
      if (before !== undefined) {
        Object.entries(spent).forEach(([customer, total]) => {
          const bucket = buckets.get(customer);
          const known = isSameLife ? (before.spent[customer] ?? 0) : 0;
          if (bucket !== undefined) {
            bucket.level -= total - known;
            bucket.heardSpent += total - known;
          }
        });
      }
      heard.set(from, { incarnation, at: now, spent });
    },
    hearDomain(report, now) {
      const before = reports.note(report, now);
      const counted = reports.tryGet(report.failureDomain, now);
      const isCounted =
        counted?.entryHost === report.entryHost && before?.incarnation === report.incarnation;
      if (isCounted) {
        takeOff(before.spent, report.spent);
      }
    },
    trySpend(customer, cost, now) {
      const bucket = buckets.get(customer);
      if (bucket === undefined) {
        return { kind: 'within' };
      }
      refill(bucket, now);
      if (bucket.level < Math.min(cost, bucket.quota.burst * USED_BURST) / 2) {
        const missing = cost / 2 - bucket.level;
        const rate = Math.max(bucket.quota.ratePerSecond, 1);
        return { kind: 'over', retryAfter: (missing / rate) * MILLISECONDS_PER_SECOND };
      }
      bucket.level -= cost;
      bucket.spent += cost;
      return { kind: 'within' };
    },
    giveBack(customer, cost) {
      const bucket = buckets.get(customer);
      if (bucket !== undefined) {
        bucket.level += cost;
        bucket.spent -= cost;
      }
    },
    spentTogether: (now) => ({
      hosts: 1 + peers.filter(({ entryHost }) => !isSilent(entryHost, now)).length,
      spent: Object.fromEntries(
        [...buckets].map(([customer, { spent, heardSpent }]) => [customer, spent + heardSpent]),
      ),
    }),
    spent: () =>
      Object.fromEntries([...buckets].map(([customer, bucket]) => [customer, bucket.spent])),
  };
}
