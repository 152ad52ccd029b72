import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import { settleWrite } from '@rattanreel/platform';
import type { ObjectStore, SettledWrite } from '@rattanreel/platform';
import claimKind from './claimKind';
import type { ClaimRecord, OrderEntry, OrderOwner } from './types';

interface ClaimWriterOptions {
  readonly store: ObjectStore;
  readonly self: OrderOwner;
  readonly clock: Clock;
  readonly random: Random;
  readonly retention: Milliseconds;
}

interface ClaimWrite {
  readonly entry: OrderEntry;
  /** Version of the claim to replace; undefined creates one. */
  readonly version: number | undefined;
  readonly deadline: Milliseconds;
}

/** Writes a claim under a condition, and settles the write when its answer is lost. */
type WriteClaim = (write: ClaimWrite) => Promise<SettledWrite<ClaimRecord>>;

/** Makes the writer of this incarnation's claims. */
export default function createClaimWriter(options: ClaimWriterOptions): WriteClaim {
  const { store, self, clock, random, retention } = options;
  return ({ entry, version, deadline }) => {
    const { name, nonce, requestDigest } = entry;
    const record: ClaimRecord = {
      claimant: self.entryHost,
      incarnation: self.incarnation,
      nonce,
      requestDigest,
      outcome: undefined,
      expiresAt: new Date(clock.wallTime().getTime() + retention).toISOString(),
    };
    return settleWrite<ClaimRecord>({
      write: () =>
        version === undefined
          ? store.create(claimKind, name, record)
          : store.update(claimKind, name, record, version),
      isOwn: (current) => (current.value as ClaimRecord).nonce === nonce,
      clock,
      random,
      deadline,
    });
  };
}
