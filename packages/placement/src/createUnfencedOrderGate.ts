import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { EngineOrder, EngineState, PlacementPolicy } from './types';

/** An order to a server that ignores fences, until its effect is certain to last. */
interface UnconfirmedOrder {
  readonly order: EngineOrder;
  readonly sentAt: Milliseconds;
  readAt: Milliseconds;
}

type ReadBackResult =
  | { readonly kind: 'stands' }
  | { readonly kind: 'unknown' }
  /** Another order came after the one that was sent; it is to be sent again. */
  | { readonly kind: 'overwritten'; readonly order: EngineOrder };

/** Rules for servers that take orders from anyone. */
interface UnfencedOrderGate {
  /** Whether an order may be sent: none is on its way. */
  canSend(): boolean;
  recordSent(backendServer: BackendServerId, order: EngineOrder, now: Milliseconds): void;
  recordAnswered(backendServer: BackendServerId): void;
  /** Servers whose state is to be read now. */
  takeDueReads(now: Milliseconds): readonly BackendServerId[];
  /** Judges the state read back. */
  verifyState(
    backendServer: BackendServerId,
    state: EngineState | undefined,
    now: Milliseconds,
  ): ReadBackResult;
}

function isInEffect(order: EngineOrder, state: EngineState): boolean {
  switch (order.order) {
    case 'loadVersion':
      return state.version === order.version;
    case 'setRole':
      return state.role === order.role;
    case 'loadAdapter':
      // Reports do not name adapters; an adapter does no harm beside others.
      return true;
    default:
      return order satisfies never;
  }
}

/**
 * Orders to servers that ignore fencing numbers go one at a time. What a server then holds is read back until no
 * order of an earlier holder can land any more.
 */
export default function createUnfencedOrderGate(policy: PlacementPolicy): UnfencedOrderGate {
  const unconfirmed = new Map<BackendServerId, UnconfirmedOrder>();
  let inFlightServer: BackendServerId | undefined;

  return {
    canSend: () => inFlightServer === undefined,
    recordSent(backendServer, order, now) {
      inFlightServer = backendServer;
      unconfirmed.set(backendServer, { order, sentAt: now, readAt: now + policy.readBackDelay });
    },
    recordAnswered(backendServer) {
      if (inFlightServer === backendServer) {
        inFlightServer = undefined;
      }
    },
    takeDueReads(now) {
      const due = [...unconfirmed].filter(([, { readAt }]) => now >= readAt);
      due.forEach(([, entry]) => {
        entry.readAt = now + policy.readBackDelay;
      });
      return due.map(([backendServer]) => backendServer);
    },
    verifyState(backendServer, state, now) {
      const entry = unconfirmed.get(backendServer);
      if (entry === undefined || state === undefined) {
        return { kind: 'unknown' };
      }
      if (!isInEffect(entry.order, state)) {
        return { kind: 'overwritten', order: entry.order };
      }
      if (now >= entry.sentAt + policy.leaseDuration + policy.maximumOrderTime) {
        unconfirmed.delete(backendServer);
      }
      return { kind: 'stands' };
    },
  };
}
