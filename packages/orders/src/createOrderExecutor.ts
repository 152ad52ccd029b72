import { Debug } from '@rattanreel/core';
import createAttemptRegistry from './createAttemptRegistry';
import createKeyedOrders from './createKeyedOrders';
import createTicketOrders from './createTicketOrders';
import toResult from './toResult';
import type { OrderExecutorOptions, RecordingOrderExecutor } from './types';

/** Creates the executor that runs each order of one incarnation at most once. */
export default function createOrderExecutor(options: OrderExecutorOptions): RecordingOrderExecutor {
  const attempts = createAttemptRegistry(options);
  const keyedOrders = createKeyedOrders({ ...options, attempts });
  const ticketOrders = createTicketOrders({ ...options, attempts });

  return {
    issueTicket: ticketOrders.issue,
    async submit(order) {
      const { key } = order;
      switch (key.kind) {
        case 'none':
          return toResult(await attempts.dispatchUnkeyed(order));
        case 'ticket':
          return ticketOrders.submit(order, key.ticket);
        case 'callerKey':
          return keyedOrders.submit(order, key.key);
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
          return ticketOrders.answerPeer(order, key.ticket);
        case 'callerKey':
          return keyedOrders.answerPeer(order, key.key, nonce);
        default:
          return Debug.assertNever(key);
      }
    },
    flush: keyedOrders.flush,
  };
}
