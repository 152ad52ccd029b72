import { fail, ok } from '@rattanreel/core';
import type { Milliseconds, Outcome } from '@rattanreel/core';
import sleep from './sleep';
import createTokenBucket from './createTokenBucket';
import type {
  ObjectStoreOptions,
  StoreCall,
  StoreError,
  StoreReply,
  StoreTransport,
} from './types';

const DEFAULT_CALLS_PER_SECOND = 50;
const DEFAULT_BURST = 100;
const DEFAULT_CALL_TIMEOUT: Milliseconds = 1_000;
const DEFAULT_DEADLINE: Milliseconds = 2_500;
const DEFAULT_BACKOFF: Milliseconds = 40;
const BACKOFF_FACTOR = 2;
const MAXIMUM_BACKOFF: Milliseconds = 1_000;
const MINIMUM_ATTEMPT_TIMEOUT: Milliseconds = 20;

interface RetryingTransportOptions extends ObjectStoreOptions {
  readonly transport: StoreTransport;
}

interface RetryingTransport {
  /** Makes a call, and retries it while that is safe and the deadline allows. */
  call(call: StoreCall): Promise<Outcome<StoreReply, StoreError>>;
  /** Takes one call from the budget for a watch; returns false when the budget is spent. */
  tryTakeCall(): boolean;
}

/**
 * Returns whether a call may be retried: a write only when the store refused it, a read also when
 * its answer was lost.
 */
function isRetryable(call: StoreCall, reply: StoreReply): boolean {
  if (reply.kind === 'refused') {
    return true;
  }
  const isRead = call.kind === 'get' || call.kind === 'list' || call.kind === 'listHosts';
  return isRead && reply.kind === 'lost';
}

/**
 * Creates a transport that makes calls within the budget of this process and retries them with
 * jittered backoff.
 */
export default function createRetryingTransport(
  options: RetryingTransportOptions,
): RetryingTransport {
  const { transport, clock, random } = options;
  const callTimeout = options.callTimeout ?? DEFAULT_CALL_TIMEOUT;
  const deadline = options.deadline ?? DEFAULT_DEADLINE;
  const backoff = options.backoff ?? DEFAULT_BACKOFF;
  const budget = createTokenBucket({
    clock,
    tokensPerSecond: options.callBudget?.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND,
    burst: options.callBudget?.burst ?? DEFAULT_BURST,
  });

  /** Waits for the budget; returns false when the deadline would pass first. */
  async function waitForBudget(deadlineAt: Milliseconds): Promise<boolean> {
    while (!budget.tryTake()) {
      const wait = budget.getWaitTime();
      if (clock.now() + wait >= deadlineAt) {
        return false;
      }
      await sleep(clock, wait);
    }
    return true;
  }

  function getBackoff(attempt: number): Milliseconds {
    const ceiling = Math.min(MAXIMUM_BACKOFF, backoff * BACKOFF_FACTOR ** attempt);
    return ceiling * (0.5 + random.next() / 2);
  }

  return {
    tryTakeCall: () => budget.tryTake(),
    async call(call) {
      const deadlineAt = clock.now() + deadline;
      for (let attempt = 0; ; attempt += 1) {
        if (!(await waitForBudget(deadlineAt))) {
          return fail({ kind: 'callBudgetSpent', retryAfterMilliseconds: budget.getWaitTime() });
        }
        const reply = await transport.call(call, Math.min(callTimeout, deadlineAt - clock.now()));
        const retryDelay = getBackoff(attempt);
        const isLastAttempt = clock.now() + retryDelay + MINIMUM_ATTEMPT_TIMEOUT >= deadlineAt;
        if (!isRetryable(call, reply) || isLastAttempt) {
          return ok(reply);
        }
        await sleep(clock, retryDelay);
      }
    },
  };
}
