import type { Generation, Milliseconds } from '@rattanreel/core';
import type createLoadTokenBucket from './createLoadTokenBucket';
import type createUnfencedOrderGate from './createUnfencedOrderGate';
import type { PlacedServer, PlannedEngineOrder } from './types';

/** What lives as long as one holding of the lease. */
interface LeaseTerm {
  readonly generation: Generation;
  /** From then on every order of an earlier holder has landed and shows in the reports. */
  readonly sendAllowedAt: Milliseconds;
  readonly gate: ReturnType<typeof createUnfencedOrderGate>;
  readonly loadBucket: ReturnType<typeof createLoadTokenBucket>;
}

/** Why an order has to wait; undefined when it may go, which takes a load from the budget. */
export default function tryGetWaitReason(
  planned: PlannedEngineOrder,
  server: PlacedServer,
  { gate, loadBucket, sendAllowedAt }: LeaseTerm,
  now: Milliseconds,
): string | undefined {
  // A fence guards the backend server that has seen it only; what the others hold has to be known, too.
  if (now < sendAllowedAt) {
    return 'orders of an earlier holder may be on their way';
  }
  if (!server.checksFencing && !gate.canSend()) {
    return 'another order to a server that ignores fences is on its way';
  }
  const isLoad = planned.order.order !== 'setRole';
  return isLoad && !loadBucket.tryTake(now) ? 'the weight store budget is spent' : undefined;
}
