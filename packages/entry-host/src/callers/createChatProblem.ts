import type { RequestId } from '@rattanreel/core';
import type { ChatOutcome, ProblemDocument } from './types';
import createProblem from './createProblem';
import problemTypes from './problemTypes';
import problemTypeByRefusal from './problemTypeByRefusal';
import createStreamProblem from './createStreamProblem';

/** Creates the problem document for a chat request without a complete answer. */
export default function createChatProblem(
  request: RequestId,
  outcome: ChatOutcome,
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
    case 'ended':
      return createStreamProblem(request, outcome.stream);
    default:
      return outcome satisfies never;
  }
}
