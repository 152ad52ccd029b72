import type { Execution } from '@rattanreel/orders';
import type { StreamResult } from '@rattanreel/dispatch';
import type { RequestId } from '@rattanreel/core';
import type { ProblemDocument } from './types';
import createProblem from './createProblem';
import problemTypes from './problemTypes';

const RETRY_AFTER_MS = 1_000;
const SERVICE_UNAVAILABLE_STATUS = 503;
const FIRST_CLIENT_ERROR_STATUS = 400;
const CONFLICT_STATUS = 409;
const FIRST_SERVER_ERROR_STATUS = 500;

/** Whether an engine's status means that it has not begun the request. */
function isNotRunStatus(status: number): boolean {
  const clientError = status >= FIRST_CLIENT_ERROR_STATUS && status < FIRST_SERVER_ERROR_STATUS;
  return status === SERVICE_UNAVAILABLE_STATUS || (clientError && status !== CONFLICT_STATUS);
}

function classifyExecution(stream: StreamResult): Execution {
  if (stream.tokens > 0) {
    return 'partly-run';
  }
  const { error } = stream;
  if (error?.kind === 'notConnected') {
    return 'not-run';
  }
  return error?.kind === 'rejected' && isNotRunStatus(error.status) ? 'not-run' : 'may-have-run';
}

/** Creates the problem document for a stream that did not complete. */
export default function createStreamProblem(
  request: RequestId,
  stream: StreamResult,
): ProblemDocument {
  const execution = classifyExecution(stream);
  const kind = stream.error?.kind ?? 'interrupted';
  if (execution === 'not-run') {
    const type = problemTypes.noBackendServer;
    return createProblem(type, execution, { request, detail: kind, retryAfter: RETRY_AFTER_MS });
  }
  if (kind === 'aborted') {
    return createProblem(problemTypes.deadlinePassed, execution, { request });
  }
  const type =
    execution === 'partly-run' ? problemTypes.backendServerFailed : problemTypes.executionInDoubt;
  return createProblem(type, execution, { request, detail: kind });
}
