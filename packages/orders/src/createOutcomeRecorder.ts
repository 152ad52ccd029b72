import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import { retryConditionalWrite } from '@rattanreel/platform';
import type { ObjectStore, StoredObject } from '@rattanreel/platform';
import claimKind from './claimKind';
import type { ClaimRecord, OrderOutcome } from './types';

const MAXIMUM_PENDING_OUTCOMES = 2_000;
const MAXIMUM_CONCURRENT_WRITES = 4;
const SETTLE_DEADLINE: Milliseconds = 15 * 60_000;
/** The rest of the claim is stored in the same value, which is limited to 1 MiB. */
const MAXIMUM_BODY_BYTES = 900_000;

interface OutcomeRecorderOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
}

interface PendingOutcome {
  readonly claim: StoredObject<ClaimRecord>;
  readonly outcome: OrderOutcome;
}

interface OutcomeRecorder {
  /** Writes the outcome into the claim in the background. */
  record(claim: StoredObject<ClaimRecord>, outcome: OrderOutcome): void;
  flush(deadline: Milliseconds): Promise<void>;
}

function isTooLarge(outcome: OrderOutcome): boolean {
  return outcome.kind === 'answered' && Buffer.byteLength(outcome.answer.body) > MAXIMUM_BODY_BYTES;
}

/**
 * Records how orders ended, with a bounded number of concurrent writes. An outcome that cannot be recorded is
 * dropped; a retry after this incarnation has ended is then answered `may-have-run`.
 */
export default function createOutcomeRecorder(options: OutcomeRecorderOptions): OutcomeRecorder {
  const { store, clock, random } = options;
  const pending: PendingOutcome[] = [];
  const idleListeners: (() => void)[] = [];
  let activeWriters = 0;

  async function write({ claim, outcome }: PendingOutcome): Promise<void> {
    const value: ClaimRecord = { ...claim.value, outcome };
    await retryConditionalWrite<ClaimRecord>({
      write: () => store.update(claimKind, claim.name, value, claim.version),
      isOwnWrite: (current) => {
        const found = current.value as ClaimRecord;
        return found.nonce === value.nonce && found.outcome !== undefined;
      },
      clock,
      random,
      deadline: SETTLE_DEADLINE,
      shouldContinue: () => store.isClosed?.() !== true,
    });
  }

  async function writePending(): Promise<void> {
    for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
      await write(next);
    }
    activeWriters -= 1;
    if (activeWriters === 0) {
      idleListeners.splice(0).forEach((resolve) => resolve());
    }
  }

  return {
    record(claim, outcome) {
      if (isTooLarge(outcome) || pending.length >= MAXIMUM_PENDING_OUTCOMES) {
        return;
      }
      pending.push({ claim, outcome });
      if (activeWriters < MAXIMUM_CONCURRENT_WRITES) {
        activeWriters += 1;
        // Store failures are returned as outcomes, so only a bug can make this reject.
        writePending().catch(() => {
          activeWriters -= 1;
        });
      }
    },
    async flush(deadline) {
      if (activeWriters === 0) {
        return;
      }
      await new Promise<void>((resolve) => {
        const timer = clock.after(deadline, resolve);
        idleListeners.push(() => {
          timer.cancel();
          resolve();
        });
      });
    },
  };
}
