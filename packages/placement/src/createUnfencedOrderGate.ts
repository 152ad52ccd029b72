import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { EngineOrder, EngineState, PlacementPolicy } from './types';

/** An order to a server that ignores fencing tokens, until no older order can overwrite it. */
interface UnconfirmedOrder {
  readonly order: EngineOrder;
  readonly sentAt: Milliseconds;
  readAt: Milliseconds;
}

type ReadBackResult =
  | { readonly kind: 'stands' }
  | { readonly kind: 'unknown' }
  /** Another order took effect after `order`, which must be sent again. */
  | { readonly kind: 'overwritten'; readonly order: EngineOrder };

/** Serialises and verifies orders to servers that ignore fencing tokens. */
interface UnfencedOrderGate {
  /** Whether an order may be sent, which requires that none is in flight. */
  canSend(): boolean;
  recordSent(backendServer: BackendServerId, order: EngineOrder, now: Milliseconds): void;
  recordAnswered(backendServer: BackendServerId): void;
  /** Returns the servers whose state must be read now, and schedules their next read. */
  takeDueReads(now: Milliseconds): readonly BackendServerId[];
  /** Compares the state that was read back with the last order. */
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
      // Reports do not name adapters, and loading an adapter does not affect other adapters.
      return true;
    default:
      return order satisfies never;
  }
}

/**
 * Creates the gate through which orders to servers that ignore fencing tokens are sent, one at a time. The state of a
 * server is then read back until no order of an earlier lease holder can still take effect.
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
