import { Debug, fail } from '@rattanreel/core';
import type { Clock } from '@rattanreel/core';
import advanceOrder from './advanceOrder';
import createOrderMemory from './createOrderMemory';
import toResult from './toResult';
import type {
  Attempts,
  DispatchOrder,
  OrderDecision,
  OrderEntry,
  OrderMemoryLimits,
  OrderOutcome,
  OrderRequest,
  OrderResult,
  OrderStateMessage,
} from './types';

const KEY_REUSED = fail({ kind: 'keyReusedForAnotherRequest', execution: 'not-run' } as const);

interface AttemptsOptions {
  readonly clock: Clock;
  readonly dispatch: DispatchOrder;
  readonly memory?: Partial<OrderMemoryLimits>;
  readonly onDecision?: (decision: OrderDecision) => void;
}

/** Asserts that "not run" is said only of an order whose dispatch is forbidden here. */
function checkRefusal(entry: OrderEntry, result: OrderResult): OrderResult {
  const { state } = entry;
  const isForbidden = state.kind === 'ended' && state.outcome.kind === 'notRun';
  const isRefusal = result.kind === 'error' && result.error.execution === 'not-run';
  Debug.invariant(isForbidden || !isRefusal, 'order-refused-while-dispatchable', () => entry.name);
  return result;
}

/** The attempts of one incarnation to run orders, one at a time for each order. */
export default function createAttempts(options: AttemptsOptions): Attempts {
  const { clock } = options;
  const memory = createOrderMemory(options.memory);
  const waiting = new Map<OrderEntry, (() => void)[]>();

  function advance(entry: OrderEntry, message: OrderStateMessage): void {
    const wasEnded = entry.state.kind === 'ended';
    entry.state = advanceOrder(entry.state, message);
    if (entry.state.kind !== 'ended' || wasEnded) {
      return;
    }
    if (entry.state.outcome.kind === 'notRun') {
      entry.givenUpNonces.push(entry.nonce);
    }
    memory.noteEnded(entry);
    waiting.get(entry)?.forEach((resolve) => resolve());
    waiting.delete(entry);
  }

  async function dispatchSafely(order: OrderRequest): Promise<OrderOutcome> {
    try {
      return await options.dispatch(order);
    } catch {
      // Nothing is known of a dispatch that failed in an unforeseen way.
      return { kind: 'mayHaveRun' };
    }
  }

  function tryJoin(name: string, requestDigest: string): Promise<OrderResult> | undefined {
    const entry = memory.tryGet(name);
    if (entry === undefined) {
      return undefined;
    }
    if (entry.requestDigest !== requestDigest) {
      return Promise.resolve(KEY_REUSED);
    }
    if (entry.state.kind !== 'ended') {
      options.onDecision?.({ kind: 'joined', order: name });
      return entry.result;
    }
    if (entry.state.outcome.kind === 'notRun') {
      return undefined;
    }
    options.onDecision?.({ kind: 'answeredFromMemory', order: name });
    return Promise.resolve(toResult(entry.state.outcome));
  }

  return {
    tryGet: memory.tryGet,
    hasForgotten: memory.hasForgotten,
    tryJoin,
    dispatchUnkeyed: dispatchSafely,
    begin({ name, requestDigest, nonce, run }) {
      const earlier = memory.tryGet(name);
      Debug.invariant(
        earlier === undefined || earlier.state.kind === 'ended',
        'order-attempted-twice',
        () => name,
      );
      const entry: OrderEntry = {
        name,
        requestDigest,
        nonce,
        givenUpNonces: earlier?.givenUpNonces ?? [],
        releasedNonces: earlier?.releasedNonces ?? [],
        state: { kind: 'unclaimed' },
        result: Promise.resolve(toResult({ kind: 'mayHaveRun' })),
      };
      memory.add(entry);
      entry.result = run(entry).then((result) => checkRefusal(entry, result));
      return entry.result;
    },
    advance,
    async dispatch(entry, order) {
      advance(entry, { kind: 'dispatchStarted' });
      options.onDecision?.({ kind: 'dispatched', order: entry.name });
      const outcome = await dispatchSafely(order);
      advance(entry, { kind: 'dispatchEnded', outcome });
      return outcome;
    },
    waitForEnd(entry, longest) {
      return new Promise((resolve) => {
        if (entry.state.kind === 'ended') {
          resolve(true);
          return;
        }
        const timer = clock.after(longest, () => resolve(false));
        const resolvers = waiting.get(entry) ?? [];
        waiting.set(entry, resolvers);
        resolvers.push(() => {
          timer.cancel();
          resolve(true);
        });
      });
    },
  };
}
