import type { DispatchOrder, OrderRequest } from '@rattanreel/orders';
import { Debug } from '@rattanreel/core';
import type { CallerServices, OrderDispatcher, ServiceJob } from '../callers/types';
import runServiceCall from '../callers/runServiceCall';

/** Dispatches this incarnation's orders to backend servers, each with the job of its request. */
export default function createOrderDispatcher(getServices: () => CallerServices): OrderDispatcher {
  const jobs = new Map<OrderRequest, ServiceJob>();

  const dispatch: DispatchOrder = async (order) => {
    const job = Debug.checkDefined(jobs.get(order), 'job of the order');
    const outcome = await runServiceCall(getServices(), job);
    switch (outcome.kind) {
      case 'answered':
        return { kind: 'answered', answer: outcome.answer };
      case 'failed':
        return outcome.notRun ? { kind: 'notRun' } : { kind: 'mayHaveRun' };
      case 'refused':
      case 'callerGone':
        return { kind: 'notRun' };
      default:
        return Debug.assertNever(outcome);
    }
  };

  return {
    dispatch,
    async withJob(order, job, submit) {
      jobs.set(order, job);
      try {
        return await submit();
      } finally {
        jobs.delete(order);
      }
    },
  };
}
