import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { RemotePool } from '../types';
import type { PrioritySpillBudget } from './types';

const MAXIMUM_DEMAND_SHARE = 0.34;
const BURST_MILLISECONDS: Milliseconds = 1_000;
const MAXIMUM_SUMMARY_AGE_MILLISECONDS: Milliseconds = 10_000;

interface RemotePoolBucket {
  remotePool: RemotePool;
  receivedAt: Milliseconds;
  /** Tokens that may be spilled over now. */
  availableTokens: number;
  refilledAt: Milliseconds;
}

/**
 * Lets urgent requests spill over to failure domains that announce no spare capacity, where they
 * take precedence over lower tiers. Each remote pool gets at most about a third of the demand of
 * their tier here. The remote pool with the fewest queued tokens is preferred.
 */
export default function createPrioritySpillBudget(): PrioritySpillBudget {
  const buckets = new Map<FailureDomainId, RemotePoolBucket>();

  function refill(bucket: RemotePoolBucket, rate: number, now: Milliseconds): void {
    const burstTokens = MAXIMUM_DEMAND_SHARE * rate * BURST_MILLISECONDS;
    const refilledTokens = MAXIMUM_DEMAND_SHARE * rate * (now - bucket.refilledAt);
    bucket.availableTokens = Math.min(burstTokens, bucket.availableTokens + refilledTokens);
    bucket.refilledAt = now;
  }

  function isAvailable({ remotePool, receivedAt }: RemotePoolBucket, now: Milliseconds): boolean {
    return (
      !remotePool.drained &&
      now - receivedAt + remotePool.summaryAge <= MAXIMUM_SUMMARY_AGE_MILLISECONDS
    );
  }

  return {
    tryReserve(rate, tokens, now) {
      let best: RemotePoolBucket | undefined;
      buckets.forEach((bucket) => {
        refill(bucket, rate, now);
        const isBetter =
          best === undefined || bucket.remotePool.queuedTokens < best.remotePool.queuedTokens;
        if (isAvailable(bucket, now) && bucket.availableTokens > 0 && isBetter) {
          best = bucket;
        }
      });
      if (best !== undefined) {
        best.availableTokens -= tokens;
      }
      return best?.remotePool.failureDomain;
    },
    configure(remotePools, now) {
      const known = new Set(remotePools.map(({ failureDomain }) => failureDomain));
      [...buckets.keys()].filter((id) => !known.has(id)).forEach((id) => buckets.delete(id));
      remotePools.forEach((remotePool) => {
        const existing = buckets.get(remotePool.failureDomain);
        const newBucket = { remotePool, receivedAt: now, availableTokens: 0, refilledAt: now };
        buckets.set(
          remotePool.failureDomain,
          existing ? { ...existing, remotePool, receivedAt: now } : newBucket,
        );
      });
    },
  };
}
