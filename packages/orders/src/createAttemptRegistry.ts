import { Debug, fail } from '@rattanreel/core';
import type { Clock } from '@rattanreel/core';
import advanceOrder from './advanceOrder';
import createOrderCache from './createOrderCache';
import toResult from './toResult';
import type {
  AttemptRegistry,
  DispatchOrder,
  OrderDecision,
  OrderEntry,
  OrderCacheLimits,
  OrderOutcome,
  OrderRequest,
  OrderResult,
  OrderStateMessage,
} from './types';

const KEY_REUSED = fail({ kind: 'keyReusedForAnotherRequest', execution: 'not-run' } as const);

interface AttemptRegistryOptions {
  readonly clock: Clock;
  readonly dispatch: DispatchOrder;
  readonly cacheLimits?: Partial<OrderCacheLimits>;
  readonly onDecision?: (decision: OrderDecision) => void;
}

/** Asserts that a "not run" result is returned only for an order whose dispatch is forbidden here. */
function assertRefusalIsFinal(entry: OrderEntry, result: OrderResult): OrderResult {
  const { state } = entry;
  const isForbidden = state.kind === 'ended' && state.outcome.kind === 'notRun';
  const isRefusal = result.kind === 'error' && result.error.execution === 'not-run';
  Debug.invariant(isForbidden || !isRefusal, 'order-refused-while-dispatchable', () => entry.name);
  return result;
}

/** Creates the registry of one incarnation's attempts to run orders, one at a time for each order. */
export default function createAttemptRegistry(options: AttemptRegistryOptions): AttemptRegistry {
  const { clock } = options;
  const cache = createOrderCache(options.cacheLimits);
  const endListeners = new Map<OrderEntry, (() => void)[]>();

  function advance(entry: OrderEntry, message: OrderStateMessage): void {
    const wasEnded = entry.state.kind === 'ended';
    entry.state = advanceOrder(entry.state, message);
    if (entry.state.kind !== 'ended' || wasEnded) {
      return;
    }
    if (entry.state.outcome.kind === 'notRun') {
      entry.givenUpNonces.push(entry.nonce);
    }
    cache.markEnded(entry);
    endListeners.get(entry)?.forEach((resolve) => resolve());
    endListeners.delete(entry);
  }

  async function dispatchCatchingErrors(order: OrderRequest): Promise<OrderOutcome> {
    try {
      return await options.dispatch(order);
    } catch {
      // After an unexpected error it is unknown whether the order ran.
      return { kind: 'mayHaveRun' };
    }
  }

  function tryJoin(name: string, requestDigest: string): Promise<OrderResult> | undefined {
    const entry = cache.tryGet(name);
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
    tryGet: cache.tryGet,
    hasForgotten: cache.hasForgotten,
    tryJoin,
    dispatchUnkeyed: dispatchCatchingErrors,
    begin({ name, requestDigest, nonce, run }) {
      const previous = cache.tryGet(name);
      Debug.invariant(
        previous === undefined || previous.state.kind === 'ended',
        'order-attempted-twice',
        () => name,
      );
      const entry: OrderEntry = {
        name,
        requestDigest,
        nonce,
        givenUpNonces: previous?.givenUpNonces ?? [],
        releasedNonces: previous?.releasedNonces ?? [],
        state: { kind: 'unclaimed' },
        result: Promise.resolve(toResult({ kind: 'mayHaveRun' })),
      };
      cache.add(entry);
      entry.result = run(entry).then((result) => assertRefusalIsFinal(entry, result));
      return entry.result;
    },
    advance,
    async dispatch(entry, order) {
      advance(entry, { kind: 'dispatchStarted' });
      options.onDecision?.({ kind: 'dispatched', order: entry.name });
      const outcome = await dispatchCatchingErrors(order);
      advance(entry, { kind: 'dispatchEnded', outcome });
      return outcome;
    },
    waitForEnd(entry, maximumWait) {
      return new Promise((resolve) => {
        if (entry.state.kind === 'ended') {
          resolve(true);
          return;
        }
        const timer = clock.after(maximumWait, () => resolve(false));
        const resolvers = endListeners.get(entry) ?? [];
        endListeners.set(entry, resolvers);
        resolvers.push(() => {
          timer.cancel();
          resolve(true);
        });
      });
    },
  };
}
