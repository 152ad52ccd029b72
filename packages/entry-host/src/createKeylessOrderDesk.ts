import { fail, ok } from '@rattanreel/core';
import type { DispatchOrder, OrderDesk } from '@rattanreel/orders';

/** Orders without a key: dispatched once by this host, and answered with what came of it. */
export default function createKeylessOrderDesk(dispatch: DispatchOrder): OrderDesk {
  return {
    issueTicket: () => '',
    async submit(order) {
      const outcome = await dispatch(order);
      switch (outcome.kind) {
        case 'answered':
          return ok(outcome.answer);
        case 'notRun':
          return fail({ kind: 'refused', execution: 'not-run', retryAfter: 1_000 });
        case 'mayHaveRun':
          return fail({ kind: 'dispatchInDoubt', execution: 'may-have-run' });
        default:
          return outcome satisfies never;
      }
    },
    answerPeer: async () => ({ kind: 'gone' }),
  };
}
