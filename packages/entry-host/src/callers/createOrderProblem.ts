import type { OrderError } from '@rattanreel/orders';
import type { RequestId } from '@rattanreel/core';
import type { ProblemDocument } from './types';
import createProblem from './createProblem';
import problemTypes from './problemTypes';

/** Creates the problem document for an order without an answer. */
export default function createOrderProblem(request: RequestId, error: OrderError): ProblemDocument {
  const { execution } = error;
  switch (error.kind) {
    case 'keyReusedForAnotherRequest':
      return createProblem(problemTypes.keyReused, execution, { request });
    case 'storeUnavailable':
      // Advising the use of a ticket or of no key is safe only when nothing has run under the key.
      return createProblem(
        execution === 'not-run' ? problemTypes.storeUnavailable : problemTypes.executionInDoubt,
        execution,
        { request, detail: error.kind, retryAfter: error.retryAfter },
      );
    case 'refused':
      return createProblem(problemTypes.overloaded, execution, {
        request,
        retryAfter: error.retryAfter,
      });
    case 'ticketUnknown':
      return createProblem(problemTypes.unknownTicket, execution, { request });
    case 'claimantGone':
    case 'ticketHolderGone':
    case 'dispatchInDoubt':
      return createProblem(problemTypes.executionInDoubt, execution, {
        request,
        detail: error.kind,
      });
    default:
      return error satisfies never;
  }
}
