import type { Clock, Milliseconds, Random, Timer } from '@rattanreel/core';
import { retryConditionalWrite } from '@rattanreel/platform';
import type { ObjectStore, ConditionalWriteResult } from '@rattanreel/platform';
import claimKind from './claimKind';
import type { ClaimRecord, OrderEntry, OrderOwner } from './types';

type SettledClaim = ConditionalWriteResult<ClaimRecord>;

/** Longest wait for a claim while the store is degraded. */
const DEGRADED_STORE_DEADLINE: Milliseconds = 500;
const LATE_ANSWER_GRACE: Milliseconds = 10;

interface ClaimWriterOptions {
  readonly store: ObjectStore;
  readonly self: OrderOwner;
  readonly clock: Clock;
  readonly random: Random;
  readonly retention: Milliseconds;
  /** Longest wait for a claim. */
  readonly deadline: Milliseconds;
}

interface ClaimWrite {
  readonly entry: OrderEntry;
  /** Version of the claim to replace; undefined creates one. */
  readonly version: number | undefined;
}

/** Writes a claim conditionally, and determines the outcome when the store's answer is lost. */
type WriteClaim = (write: ClaimWrite) => Promise<SettledClaim>;

/**
 * Creates the writer of this incarnation's claims. It stops waiting at the deadline, which is short while the store
 * is known to be degraded; a write that takes effect later is a claim under a nonce that has been given up.
 */
export default function createClaimWriter(options: ClaimWriterOptions): WriteClaim {
  const { store, self, clock, random } = options;
  let isStoreDegraded = false;

  function writeAndSettle(
    { entry, version }: ClaimWrite,
    hasTimedOut: () => boolean,
  ): Promise<SettledClaim> {
    const { name, nonce, requestDigest } = entry;
    const record: ClaimRecord = {
      claimant: self.entryHost,
      incarnation: self.incarnation,
      nonce,
      requestDigest,
      outcome: undefined,
      expiresAt: new Date(clock.wallTime().getTime() + options.retention).toISOString(),
    };
    return retryConditionalWrite<ClaimRecord>({
      write: () =>
        version === undefined
          ? store.create(claimKind, name, record)
          : store.update(claimKind, name, record, version),
      isOwnWrite: (current) => (current.value as ClaimRecord).nonce === nonce,
      clock,
      random,
      deadline: options.deadline,
      shouldContinue: () => !hasTimedOut(),
    });
  }

  /** After a pause of the process, processes an answer that arrived during the pause before the deadline fires. */
  function afterDeadline(deadline: Milliseconds, callback: () => void): Timer {
    let timer = clock.after(deadline, () => {
      timer = clock.after(LATE_ANSWER_GRACE, callback);
    });
    return { cancel: () => timer.cancel() };
  }

  return async (write) => {
    let hasTimedOut = false;
    let timer: Timer | undefined;
    const timedOut = new Promise<SettledClaim>((resolve) => {
      const deadline = isStoreDegraded ? DEGRADED_STORE_DEADLINE : options.deadline;
      timer = afterDeadline(Math.min(deadline, options.deadline), () => {
        hasTimedOut = true;
        resolve({ kind: 'inDoubt' });
      });
    });
    const settling = writeAndSettle(write, () => hasTimedOut);
    settling.then(updateStoreState, () => undefined);
    const settled = await Promise.race([settling, timedOut]);
    timer?.cancel();
    isStoreDegraded ||= settled.kind === 'inDoubt';
    return settled;
  };

  function updateStoreState(settled: SettledClaim): void {
    isStoreDegraded = settled.kind === 'notWritten' || settled.kind === 'inDoubt';
  }
}
