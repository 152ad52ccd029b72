import { Debug } from '@rattanreel/core';
import type { OrderState, OrderStateMessage } from './types';

const GIVEN_UP: OrderState = { kind: 'ended', outcome: { kind: 'notRun' } };

/** Advances an order's state: unclaimed, claimed, dispatching, ended; never back, and it dispatches only once. */
export default function advanceOrder(state: OrderState, message: OrderStateMessage): OrderState {
  const isUndispatched = state.kind === 'unclaimed' || state.kind === 'claimed';
  switch (message.kind) {
    case 'claimWritten':
      Debug.invariant(state.kind === 'unclaimed', 'order-claimed-twice', () => state.kind);
      return state.kind === 'unclaimed' ? { kind: 'claimed' } : state;
    case 'giveUp':
      return isUndispatched ? GIVEN_UP : state;
    case 'dispatchStarted':
      Debug.invariant(state.kind === 'claimed', 'order-dispatched-unclaimed', () => state.kind);
      return { kind: 'dispatching' };
    case 'dispatchEnded':
      Debug.invariant(state.kind === 'dispatching', 'order-ended-undispatched', () => state.kind);
      return { kind: 'ended', outcome: message.outcome };
    case 'outcomeLearned':
      return state.kind === 'unclaimed' ? { kind: 'ended', outcome: message.outcome } : state;
    default:
      return Debug.assertNever(message);
  }
}
