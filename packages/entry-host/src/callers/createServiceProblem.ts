import type { RequestId } from '@rattanreel/core';
import type { ProblemDocument, ServiceOutcome } from './types';
import createProblem from './createProblem';
import problemTypes from './problemTypes';
import problemTypeByRefusal from './problemTypeByRefusal';

const RETRY_AFTER_MS = 1_000;

/** Creates the problem document for a repeatable call of a plain service that got no answer. */
export default function createServiceProblem(
  request: RequestId,
  outcome: Exclude<ServiceOutcome, { readonly kind: 'answered' }>,
): ProblemDocument {
  switch (outcome.kind) {
    case 'refused':
      return createProblem(problemTypeByRefusal[outcome.reason], 'not-run', {
        request,
        detail: outcome.reason,
        retryAfter: outcome.retryAfter,
      });
    case 'callerGone':
      return createProblem(problemTypes.deadlineCannotBeMet, 'not-run', { request });
    case 'failed':
      return outcome.notRun
        ? createProblem(problemTypes.noBackendServer, 'not-run', {
            request,
            detail: outcome.error.kind,
            retryAfter: RETRY_AFTER_MS,
          })
        : createProblem(problemTypes.executionInDoubt, 'may-have-run', {
            request,
            detail: outcome.error.kind,
          });
    default:
      return outcome satisfies never;
  }
}
