import type { Generation, Milliseconds } from '@rattanreel/core';

const LEASE_DURATION_MILLISECONDS: Milliseconds = 10_000;
const TAKEOVER_MILLISECONDS: Milliseconds = 15_000;

/** One process that may hold the moves lease. */
interface LeaseCandidate {
  readonly generation: Generation;
  /** Whether it can renew now: alive, running and in reach of the store. */
  canRenew(): boolean;
  /** Tells it that its lease has lapsed by its own clock. */
  expireLease(): void;
}

interface LeaseModel {
  /** Renews, lapses or hands the lease on. */
  check(now: Milliseconds): void;
}

interface LeaseModelOptions {
  readonly isStoreDown: () => boolean;
  /** Starts a new holder; undefined when no host can reach the store. */
  readonly tryStartHolder: (generation: Generation) => LeaseCandidate | undefined;
}

/** The moves lease: renewed each second, lapsed by the holder's clock, taken over later by another host. */
export default function createLeaseModel(options: LeaseModelOptions): LeaseModel {
  let holder: LeaseCandidate | undefined;
  let generation: Generation = 0;
  let renewedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  function takeOver(now: Milliseconds): void {
    const next = options.tryStartHolder(generation + 1);
    if (next !== undefined) {
      holder = next;
      generation += 1;
      renewedAt = now;
    }
  }

  return {
    check(now) {
      if (holder?.canRenew() && now - renewedAt < TAKEOVER_MILLISECONDS) {
        renewedAt = now;
        return;
      }
      if (now - renewedAt > LEASE_DURATION_MILLISECONDS) {
        holder?.expireLease();
      }
      if (now - renewedAt > TAKEOVER_MILLISECONDS && !options.isStoreDown()) {
        takeOver(now);
      }
    },
  };
}
