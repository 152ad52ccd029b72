import type { Generation, Milliseconds } from '@rattanreel/core';
import type createLoadPacer from './createLoadPacer';
import type createUnfencedGate from './createUnfencedGate';
import type { PlacedServer, PlannedOrder } from './types';

/** What lives as long as one holding of the lease. */
interface Holding {
  readonly generation: Generation;
  readonly gate: ReturnType<typeof createUnfencedGate>;
  readonly pacer: ReturnType<typeof createLoadPacer>;
}

/** Why an order has to wait; undefined when it may go, which takes a load from the budget. */
export default function tryGetWait(
  planned: PlannedOrder,
  server: PlacedServer,
  { gate, pacer }: Holding,
  now: Milliseconds,
): string | undefined {
  if (!server.checksFencing && !gate.canSend(now)) {
    return 'orders of an earlier holder or an own one may be on their way';
  }
  const isLoad = planned.order.order !== 'setRole';
  return isLoad && !pacer.tryTake(now) ? 'the weight store budget is spent' : undefined;
}
