import type { Generation, Milliseconds } from '@rattanreel/core';
import type createLoadTokenBucket from './createLoadTokenBucket';
import type createUnfencedOrderGate from './createUnfencedOrderGate';
import type { PlacedServer, PlannedEngineOrder } from './types';

/** The state of one term of the lease, from its acquisition to its loss. */
interface LeaseTerm {
  readonly generation: Generation;
  /** Monotonic time from which every order of an earlier holder has taken effect and appears in the reports. */
  readonly sendAllowedAt: Milliseconds;
  readonly gate: ReturnType<typeof createUnfencedOrderGate>;
  readonly loadBucket: ReturnType<typeof createLoadTokenBucket>;
}

/**
 * Returns why an order must wait; undefined when it may be sent. If it loads a version or an adapter, it has then taken
 * one load from the budget.
 */
export default function tryGetWaitReason(
  planned: PlannedEngineOrder,
  server: PlacedServer,
  { gate, loadBucket, sendAllowedAt }: LeaseTerm,
  now: Milliseconds,
): string | undefined {
  // A fencing token protects only a backend server that has seen it; the state of the others must be known, too.
  if (now < sendAllowedAt) {
    return 'orders of an earlier lease holder may be in flight';
  }
  if (!server.checksFencing && !gate.canSend()) {
    return 'another order to a server that ignores fencing tokens is in flight';
  }
  const isLoad = planned.order.order !== 'setRole';
  return isLoad && !loadBucket.tryTake(now)
    ? 'the load budget of the weight store is used up'
    : undefined;
}
