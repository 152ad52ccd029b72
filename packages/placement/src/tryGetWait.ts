import type { Generation, Milliseconds } from '@rattanreel/core';
import type createLoadPacer from './createLoadPacer';
import type createUnfencedGate from './createUnfencedGate';
import type { PlacedServer, PlannedOrder } from './types';

/** What lives as long as one holding of the lease. */
interface Holding {
  readonly generation: Generation;
  /** From then on every order of an earlier holder has landed and shows in the reports. */
  readonly opensAt: Milliseconds;
  readonly gate: ReturnType<typeof createUnfencedGate>;
  readonly pacer: ReturnType<typeof createLoadPacer>;
}

/** Why an order has to wait; undefined when it may go, which takes a load from the budget. */
export default function tryGetWait(
  planned: PlannedOrder,
  server: PlacedServer,
  { gate, pacer, opensAt }: Holding,
  now: Milliseconds,
): string | undefined {
  // A fence guards the backend server that has seen it only; what the others hold has to be known, too.
  if (now < opensAt) {
    return 'orders of an earlier holder may be on their way';
  }
  if (!server.checksFencing && !gate.canSend()) {
    return 'another order to a server that ignores fences is on its way';
  }
  const isLoad = planned.order.order !== 'setRole';
  return isLoad && !pacer.tryTake(now) ? 'the weight store budget is spent' : undefined;
}
