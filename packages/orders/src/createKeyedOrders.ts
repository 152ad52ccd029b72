import { fail } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import createClaimedOrderRunner from './createClaimedOrderRunner';
import createDispatchHolds from './createDispatchHolds';
import getRequestDigest from './getRequestDigest';
import hashText from './hashText';
import toResult from './toResult';
import type {
  AttemptRegistry,
  OrderExecutorOptions,
  OrderEntry,
  OrderRequest,
  OrderResult,
  OwnerAnswer,
} from './types';

const DEFAULT_PEER_WAIT: Milliseconds = 8_000;
const RETRY_AFTER: Milliseconds = 2_000;
const KEY_REUSED = fail({ kind: 'keyReusedForAnotherRequest', execution: 'not-run' } as const);
const STILL_RUNNING = fail({
  kind: 'dispatchInDoubt',
  execution: 'may-have-run',
  reason: 'stillRunning',
  retryAfter: RETRY_AFTER,
} as const);

interface KeyedOrdersOptions extends OrderExecutorOptions {
  readonly attempts: AttemptRegistry;
}

interface KeyedOrders {
  submit(order: OrderRequest, key: string): Promise<OrderResult>;
  /** Answers a peer that found a claim of this incarnation, or one that surveys all peers. */
  answerPeer(
    order: OrderRequest,
    key: string,
    askedNonce: string | undefined,
  ): Promise<OwnerAnswer>;
  flush(deadline: Milliseconds): Promise<void>;
}

/** Handles orders with idempotency keys chosen by the callers. */
export default function createKeyedOrders(options: KeyedOrdersOptions): KeyedOrders {
  const { random, attempts } = options;
  const peerWait = options.peerWait ?? DEFAULT_PEER_WAIT;
  const runner = createClaimedOrderRunner(options);
  const holds = createDispatchHolds(options.clock);

  /** Allows a peer to take over a claim, or reports to a survey that the order has not run here. */
  function denyExecution(entry: OrderEntry, askedNonce: string | undefined): OwnerAnswer {
    if (askedNonce === undefined) {
      holds.hold(entry.name);
    } else {
      entry.releasedNonces.push(askedNonce);
    }
    return { kind: 'givenUp', nonces: [...entry.givenUpNonces] };
  }

  async function run(entry: OrderEntry, order: OrderRequest): Promise<OrderResult> {
    await holds.wait(entry.name);
    return runner.run(entry, order);
  }

  return {
    async submit(order, key) {
      const name = hashText(order.customer, key);
      const requestDigest = getRequestDigest(order);
      const joined = attempts.tryJoin(name, requestDigest);
      if (joined !== undefined) {
        return joined;
      }
      const nonce = random.identifier();
      return attempts.begin({
        name,
        requestDigest,
        nonce,
        run: (entry) => run(entry, order),
      });
    },
    async answerPeer(order, key, askedNonce) {
      const name = hashText(order.customer, key);
      const entry = attempts.tryGet(name);
      if (entry === undefined) {
        holds.hold(name);
        return { kind: 'unknown', hasForgotten: attempts.hasForgotten() };
      }
      if (entry.requestDigest !== getRequestDigest(order)) {
        return { kind: 'result', result: KEY_REUSED };
      }
      if (askedNonce !== undefined && entry.givenUpNonces.includes(askedNonce)) {
        return denyExecution(entry, askedNonce);
      }
      if (!(await attempts.waitForEnd(entry, peerWait))) {
        return { kind: 'result', result: STILL_RUNNING };
      }
      return entry.state.kind === 'ended' && entry.state.outcome.kind !== 'notRun'
        ? { kind: 'result', result: toResult(entry.state.outcome) }
        : denyExecution(entry, askedNonce);
    },
    flush: runner.flush,
  };
}
