import type { Clock, Milliseconds, Outcome, Random } from '@rattanreel/core';
import sleep from './sleep';
import type { ConditionalWriteResult, StoredObject, StoreError } from './types';

const DEFAULT_DEADLINE: Milliseconds = 3_000;
const INITIAL_BACKOFF: Milliseconds = 50;
const MAXIMUM_BACKOFF: Milliseconds = 1_000;
const BACKOFF_FACTOR = 2;

interface ConditionalWriteOptions<Value> {
  /**
   * Makes the conditional write. It is retried under the same condition while its outcome is
   * unknown: as soon as one attempt has succeeded or met a conflict, no earlier one can take effect
   * any more.
   */
  readonly write: () => Promise<Outcome<StoredObject<Value>, StoreError>>;
  /**
   * Returns whether an object found instead is the result of this write, by a nonce or change id.
   */
  readonly isOwnWrite: (current: StoredObject) => boolean;
  readonly clock: Clock;
  readonly random: Random;
  /** Longest time for all attempts together. */
  readonly deadline?: Milliseconds;
  /** Ends the attempts early when it returns false. */
  readonly shouldContinue?: () => boolean;
}

/** Makes a conditional write and retries it until its outcome is known, or until the deadline. */
export default async function retryConditionalWrite<Value>(
  options: ConditionalWriteOptions<Value>,
): Promise<ConditionalWriteResult<Value>> {
  const { clock, random } = options;
  const deadlineAt = clock.now() + (options.deadline ?? DEFAULT_DEADLINE);
  let isInDoubt = false;
  for (let attempt = 0; ; attempt += 1) {
    const result = await options.write();
    if (result.kind === 'ok') {
      return { kind: 'written', object: result.value };
    }
    const { error } = result;
    if (error.kind === 'conflict') {
      return error.current !== undefined && options.isOwnWrite(error.current)
        ? { kind: 'written', object: error.current as StoredObject<Value> }
        : { kind: 'superseded', current: error.current, wasInDoubt: isInDoubt };
    }
    isInDoubt ||= error.kind === 'outcomeUnknown' || error.kind === 'invalidAnswer';
    const ceiling = Math.min(MAXIMUM_BACKOFF, INITIAL_BACKOFF * BACKOFF_FACTOR ** attempt);
    const backoff = ceiling * (0.5 + random.next() / 2);
    const mustStop = clock.now() + backoff >= deadlineAt || options.shouldContinue?.() === false;
    if (mustStop) {
      return isInDoubt ? { kind: 'inDoubt' } : { kind: 'notWritten', error };
    }
    await sleep(clock, backoff);
  }
}
