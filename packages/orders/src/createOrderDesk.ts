import { Debug } from '@rattanreel/core';
import createAttempts from './createAttempts';
import createKeyedOrders from './createKeyedOrders';
import createTicketOrders from './createTicketOrders';
import toResult from './toResult';
import type { OrderDeskOptions, RecordingOrderDesk } from './types';

/** Keeps the orders of one incarnation to at most one run each. */
export default function createOrderDesk(options: OrderDeskOptions): RecordingOrderDesk {
  const attempts = createAttempts(options);
  const keyed = createKeyedOrders({ ...options, attempts });
  const tickets = createTicketOrders({ ...options, attempts });

  return {
    issueTicket: tickets.issue,
    async submit(order) {
      const { key } = order;
      switch (key.kind) {
        case 'none':
          return toResult(await attempts.dispatchUnkeyed(order));
        case 'ticket':
          return tickets.submit(order, key.ticket);
        case 'callerKey':
          return keyed.submit(order, key.key);
        default:
          return Debug.assertNever(key);
      }
    },
    async answerPeer(order, nonce) {
      const { key } = order;
      switch (key.kind) {
        case 'none':
          return { kind: 'unknown', hasForgotten: false };
        case 'ticket':
          return tickets.answerPeer(order, key.ticket);
        case 'callerKey':
          return keyed.answerPeer(order, key.key, nonce);
        default:
          return Debug.assertNever(key);
      }
    },
    flush: keyed.flush,
  };
}
