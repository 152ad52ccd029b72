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
const LONGEST_BACKOFF: Milliseconds = 1_000;
const SHORTEST_ATTEMPT: Milliseconds = 20;

interface CallerOptions extends ObjectStoreOptions {
  readonly transport: StoreTransport;
}

interface Caller {
  /** Makes a call, and repeats it while that is safe and the deadline allows. */
  call(call: StoreCall): Promise<Outcome<StoreReply, StoreError>>;
  /** Takes one call from the budget for a watch; false when it is spent. */
  takeCall(): boolean;
}

/** A write is repeated only when the store said that it did not take it; a read also when its answer was lost. */
function isRepeatable(call: StoreCall, reply: StoreReply): boolean {
  if (reply.kind === 'refused') {
    return true;
  }
  const isRead = call.kind === 'get' || call.kind === 'list' || call.kind === 'listHosts';
  return isRead && reply.kind === 'lost';
}

/** Makes calls within the budget of this process, with jittered repetitions. */
export default function createCaller(options: CallerOptions): Caller {
  const { transport, clock, random } = options;
  const callTimeout = options.callTimeout ?? DEFAULT_CALL_TIMEOUT;
  const deadline = options.deadline ?? DEFAULT_DEADLINE;
  const backoff = options.backoff ?? DEFAULT_BACKOFF;
  const budget = createTokenBucket({
    clock,
    tokensPerSecond: options.callBudget?.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND,
    burst: options.callBudget?.burst ?? DEFAULT_BURST,
  });

  /** Waits for the budget; false when the deadline would pass first. */
  async function waitForBudget(end: Milliseconds): Promise<boolean> {
    while (!budget.tryTake()) {
      const wait = budget.getWait();
      if (clock.now() + wait >= end) {
        return false;
      }
      await sleep(clock, wait);
    }
    return true;
  }

  function getPause(attempt: number): Milliseconds {
    const ceiling = Math.min(LONGEST_BACKOFF, backoff * BACKOFF_FACTOR ** attempt);
    return ceiling * (0.5 + random.next() / 2);
  }

  return {
    takeCall: () => budget.tryTake(),
    async call(call) {
      const end = clock.now() + deadline;
      for (let attempt = 0; ; attempt += 1) {
        if (!(await waitForBudget(end))) {
          return fail({ kind: 'callBudgetSpent', retryAfterMilliseconds: budget.getWait() });
        }
        const reply = await transport.call(call, Math.min(callTimeout, end - clock.now()));
        const pause = getPause(attempt);
        const isLast = clock.now() + pause + SHORTEST_ATTEMPT >= end;
        if (!isRepeatable(call, reply) || isLast) {
          return ok(reply);
        }
        await sleep(clock, pause);
      }
    },
  };
}
