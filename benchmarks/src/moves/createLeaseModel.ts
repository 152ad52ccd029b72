import type { Generation, Milliseconds } from '@rattanreel/core';

const LEASE_DURATION_MILLISECONDS: Milliseconds = 10_000;
const TAKEOVER_MILLISECONDS: Milliseconds = 15_000;

/** One process that may hold the moves lease. */
interface LeaseCandidate {
  readonly generation: Generation;
  /** Whether it can renew now: it is running and reaches the store. */
  canRenew(): boolean;
  /** Reports that its lease has expired by its own clock. */
  expireLease(): void;
}

interface LeaseModel {
  /** Renews, expires or transfers the lease as is due at `now`. */
  check(now: Milliseconds): void;
}

interface LeaseModelOptions {
  readonly isStoreDown: () => boolean;
  /** Starts a new holder; returns undefined when no host can reach the store. */
  readonly tryStartHolder: (generation: Generation) => LeaseCandidate | undefined;
}

/**
 * Creates a model of the moves lease: renewed at each check, expired by the holder's clock and
 * taken over later by another host.
 */
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
