import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { EngineOrder, EngineState, PlacementPolicy } from './types';

/** An order to a server that ignores fences, until its effect is certain to last. */
interface AssertedOrder {
  readonly order: EngineOrder;
  readonly sentAt: Milliseconds;
  readAt: Milliseconds;
}

type ReadBack =
  | { readonly kind: 'stands' }
  | { readonly kind: 'unknown' }
  /** Another order came after the one that was sent; it is to be sent again. */
  | { readonly kind: 'overwritten'; readonly order: EngineOrder };

/** Rules for servers that take orders from anyone. */
interface UnfencedGate {
  /** Whether an order may be sent: none is on its way. */
  canSend(): boolean;
  sent(backendServer: BackendServerId, order: EngineOrder, now: Milliseconds): void;
  answered(backendServer: BackendServerId): void;
  /** Servers whose state is to be read now. */
  takeDueReads(now: Milliseconds): readonly BackendServerId[];
  /** Judges the state read back. */
  read(backendServer: BackendServerId, state: EngineState | undefined, now: Milliseconds): ReadBack;
}

function stands(order: EngineOrder, state: EngineState): boolean {
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
export default function createUnfencedGate(policy: PlacementPolicy): UnfencedGate {
  const asserted = new Map<BackendServerId, AssertedOrder>();
  let onItsWay: BackendServerId | undefined;

  return {
    canSend: () => onItsWay === undefined,
    sent(backendServer, order, now) {
      onItsWay = backendServer;
      asserted.set(backendServer, { order, sentAt: now, readAt: now + policy.readBackAfter });
    },
    answered(backendServer) {
      if (onItsWay === backendServer) {
        onItsWay = undefined;
      }
    },
    takeDueReads(now) {
      const due = [...asserted].filter(([, { readAt }]) => now >= readAt);
      due.forEach(([, entry]) => {
        entry.readAt = now + policy.readBackAfter;
      });
      return due.map(([backendServer]) => backendServer);
    },
    read(backendServer, state, now) {
      const entry = asserted.get(backendServer);
      if (entry === undefined || state === undefined) {
        return { kind: 'unknown' };
      }
      if (!stands(entry.order, state)) {
        return { kind: 'overwritten', order: entry.order };
      }
      if (now >= entry.sentAt + policy.leaseDuration + policy.longestOrder) {
        asserted.delete(backendServer);
      }
      return { kind: 'stands' };
    },
  };
}
