import type { Generation } from '@rattanreel/core';
import retryConditionalWrite from './retryConditionalWrite';
import type { LeaseOptions, LeaseRecord, ConditionalWriteResult } from './types';

const LEASE_KIND = 'lease';

interface LeaseWrite extends Required<
  Pick<LeaseOptions, 'store' | 'name' | 'holder' | 'clock' | 'random' | 'duration'>
> {
  readonly generation: Generation;
  /** Version to replace; undefined to create the object. */
  readonly version: number | undefined;
  readonly isReleased: boolean;
  readonly shouldContinue: () => boolean;
}

/** Writes a lease conditionally, and retries the write when its answer is lost. */
export default function writeLease(
  write: LeaseWrite,
): Promise<ConditionalWriteResult<LeaseRecord>> {
  const { store, name, holder, clock, random, duration, generation, version, isReleased } = write;
  const nonce = random.identifier();
  const record: LeaseRecord = { holder, nonce, generation, duration, isReleased };
  return retryConditionalWrite<LeaseRecord>({
    write: () =>
      version === undefined
        ? store.create(LEASE_KIND, name, record)
        : store.update(LEASE_KIND, name, record, version),
    isOwnWrite: (current) => (current.value as LeaseRecord).nonce === nonce,
    clock,
    random,
    deadline: duration,
    shouldContinue: write.shouldContinue,
  });
}
