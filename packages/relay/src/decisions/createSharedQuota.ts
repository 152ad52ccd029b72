import type { CustomerId, EntryHostId, Milliseconds, Random } from '@rattanreel/core';
import type { Quota, QuotaFigures, RelayBounds } from '../types';
import createQuotaLimits from './createQuotaLimits';
import createSpendingWindow from './createSpendingWindow';
import type { QuotaDecision, SharedQuota, SpendingWindow } from './types';

const MILLISECONDS_PER_SECOND = 1_000;
/**
 * A host without a summary for this long counts as unreachable: its part of every quota is left to
 * it. Summaries are sent every 200 ms, or less often by a host with many recipients.
 */
const UNREACHABLE_AFTER: Milliseconds = 600;
/** Longest time for which the rate of a silent host is used on top of the usual one. */
const MAXIMUM_SILENCE_EXTENSION: Milliseconds = 2_000;
/** Time after which others have heard of what is spent now, as a rule. */
const HEARD_AFTER: Milliseconds = 200;
/** Reports that are kept until all others have heard them: those of about two seconds. */
const MAXIMUM_REPORTS = 10;

interface SharedQuotaOptions {
  readonly now: Milliseconds;
  readonly random: Random;
  /** Read on each use, since a reload of the settings may change the values. */
  readonly bounds: Pick<RelayBounds, 'quotaSlack' | 'quotaOver' | 'quotaWindow'>;
}

interface Bucket {
  quota: Quota;
  level: number;
  refilledAt: Milliseconds;
  spent: number;
  /** What this process had spent when it last sent a report that all others have heard. */
  heard: number;
  readonly others: SpendingWindow;
  /** Random position of this host among those of the fleet, in [0, 1). */
  readonly position: number;
}

interface HostSpending {
  incarnation: string;
  receivedAt: Milliseconds;
  hosts: number;
  spent: Readonly<Record<CustomerId, number>>;
}

interface SentReport {
  readonly at: Milliseconds;
  readonly spent: Readonly<Record<CustomerId, number>>;
}

function getFigures(
  { quota, level, others }: Bucket,
  cost: number,
  share: number,
  now: Milliseconds,
): QuotaFigures {
  return {
    level: Math.round(level),
    rate: quota.ratePerSecond,
    burst: quota.burst,
    cost,
    othersSpent: Math.round(others.get(now)),
    share: Number(share.toFixed(3)),
  };
}

/**
 * Maintains one token bucket per customer, shared by all hosts. Each host keeps the whole bucket
 * and deducts what the others report as spent. The share of unreachable hosts is left to them, so
 * that the total stays within the quota during a network partition. A new process starts with empty
 * buckets, which it may overdraw by part of the allowed excess. In a large fleet the hosts that
 * schedule a failure domain spend for all of its hosts. Handles bursts within a customer's quota
 * that arrive at any of the hosts.
 */
export default function createSharedQuota(options: SharedQuotaOptions): SharedQuota {
  const { random, bounds } = options;
  const limits = createQuotaLimits(bounds);
  const buckets = new Map<CustomerId, Bucket>();
  const spendingByHost = new Map<EntryHostId, HostSpending>();
  let reports: SentReport[] = [];
  let fleetHosts = 1;
  let ownHosts = 1;

  /** Counts the other hosts that spend and may not have heard of each other's spending. */
  function countSpenders(): number {
    return [...spendingByHost.values()].filter(({ hosts }) => hosts > 0).length;
  }

  function getUnreachableAfter(bucket: Bucket): Milliseconds {
    const rate = Math.max(bucket.quota.ratePerSecond, 1) * Math.max(countSpenders(), 1);
    const extension = (limits.getSilenceExcess(bucket.quota) * MILLISECONDS_PER_SECOND) / rate;
    return UNREACHABLE_AFTER + Math.min(extension, MAXIMUM_SILENCE_EXTENSION);
  }

  /** Returns the share of a quota that this host and the reachable ones may use together. */
  function getReachableShare(bucket: Bucket, now: Milliseconds): number {
    const unreachableAfter = getUnreachableAfter(bucket);
    let reachable = ownHosts;
    spendingByHost.forEach(({ receivedAt, hosts }) => {
      reachable += now - receivedAt <= unreachableAfter ? hosts : 0;
    });
    return Math.min(reachable / fleetHosts, 1);
  }

  function getRefilledLevel(bucket: Bucket, now: Milliseconds, share: number): number {
    const refilled =
      (bucket.quota.ratePerSecond * share * (now - bucket.refilledAt)) / MILLISECONDS_PER_SECOND;
    const maximumLevel = limits.getMaximumLevel(bucket.quota, share);
    return Math.min(
      Math.max(bucket.level, Math.min(bucket.level + refilled, maximumLevel)),
      maximumLevel,
    );
  }

  function refill(bucket: Bucket, now: Milliseconds, share: number): void {
    bucket.level = getRefilledLevel(bucket, now, share);
    bucket.refilledAt = now;
  }

  /** Updates what all others have heard: they have when each has sent something since. */
  function updateHeard(now: Milliseconds): void {
    const receivedAt = [...spendingByHost.values()]
      .filter((host) => host.hosts > 0 && now - host.receivedAt <= MAXIMUM_SILENCE_EXTENSION)
      .map((host) => host.receivedAt);
    const heardAt = Math.min(...receivedAt);
    const heard = reports.filter(({ at }) => at < heardAt);
    reports = reports.slice(heard.length);
    Object.entries(heard.at(-1)?.spent ?? {}).forEach(([customer, spent]) => {
      const bucket = buckets.get(customer);
      if (bucket !== undefined) {
        bucket.heard = spent;
      }
    });
  }

  /** Decides about a bucket whose level is that of now. */
  function decide(bucket: Bucket, cost: number, share: number, now: Milliseconds): QuotaDecision {
    const required = limits.getRequiredLevel({ ...bucket, cost, share, fleetHosts });
    const isUnheard =
      bucket.spent - bucket.heard + cost > limits.getUnheardLimit(bucket, countSpenders());
    if (bucket.level >= required && !isUnheard) {
      return { kind: 'within' };
    }
    const missing = Math.max(Math.min(required, cost / 2) - bucket.level, 0);
    const rate = Math.max(bucket.quota.ratePerSecond, 1);
    const refillTime = (missing / rate) * MILLISECONDS_PER_SECOND;
    const retryAfter = Math.max(refillTime, isUnheard ? HEARD_AFTER : 0);
    return { kind: 'over', retryAfter, figures: getFigures(bucket, cost, share, now) };
  }

  return {
    preview(customer, cost, now) {
      const bucket = buckets.get(customer);
      if (bucket === undefined) {
        return { decision: { kind: 'within' }, figures: undefined };
      }
      const share = getReachableShare(bucket, now);
      const current = { ...bucket, level: getRefilledLevel(bucket, now, share) };
      return {
        decision: decide(current, cost, share, now),
        figures: getFigures(current, cost, share, now),
      };
    },
    setQuotas(quotas, now) {
      [...buckets.keys()]
        .filter((customer) => !quotas.has(customer))
        .forEach((customer) => buckets.delete(customer));
      quotas.forEach((quota, customer) => {
        const bucket = buckets.get(customer);
        if (bucket === undefined) {
          const position = random.next();
          const others = createSpendingWindow();
          const counts = { level: 0, spent: 0, heard: 0 };
          buckets.set(customer, { quota, ...counts, refilledAt: now, others, position });
          return;
        }
        refill(bucket, now, getReachableShare(bucket, now));
        bucket.quota = quota;
        bucket.level = Math.min(bucket.level, limits.getMaximumLevel(quota, 1));
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
            bucket.others.add(total - countedTotal, now);
            // The spending of a host that this one schedules is reported as this host's own.
            bucket.spent += hosts === 0 ? total - countedTotal : 0;
          }
        });
      }
      spendingByHost.set(from, { incarnation, receivedAt: now, hosts, spent });
      updateHeard(now);
    },
    trySpend(customer, cost, now) {
      const bucket = buckets.get(customer);
      if (bucket === undefined) {
        return { kind: 'within' };
      }
      const share = getReachableShare(bucket, now);
      refill(bucket, now, share);
      const decision = decide(bucket, cost, share, now);
      if (decision.kind === 'within') {
        bucket.level -= cost;
        bucket.spent += cost;
      }
      return decision;
    },
    refund(customer, cost) {
      const bucket = buckets.get(customer);
      if (bucket !== undefined) {
        bucket.level += cost;
        bucket.spent -= cost;
      }
    },
    getSpent(now) {
      const spent = Object.fromEntries(
        [...buckets].map(([customer, bucket]) => [customer, bucket.spent]),
      );
      if (now !== undefined) {
        reports = [...reports, { at: now, spent }].slice(-MAXIMUM_REPORTS);
      }
      return spent;
    },
  };
}
