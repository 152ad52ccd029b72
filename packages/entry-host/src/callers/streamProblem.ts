import type { Execution } from '@rattanreel/orders';
import type { StreamResult } from '@rattanreel/dispatch';
import type { RequestId } from '@rattanreel/core';
import type { ProblemDocument } from './types';
import createProblem from './createProblem';
import problemTypes from './problemTypes';

const RETRY_AFTER_MS = 1_000;
const SERVICE_UNAVAILABLE = 503;
const CLIENT_ERROR_FIRST = 400;
const CONFLICT = 409;
const SERVER_ERROR_FIRST = 500;

/** Statuses by which an engine says that it has not begun the request. */
function saysNotRun(status: number): boolean {
  const clientError = status >= CLIENT_ERROR_FIRST && status < SERVER_ERROR_FIRST;
  return status === SERVICE_UNAVAILABLE || (clientError && status !== CONFLICT);
}

function executionOf(stream: StreamResult): Execution {
  if (stream.tokens > 0) {
    return 'partly-run';
  }
  const { error } = stream;
  if (error?.kind === 'notConnected') {
    return 'not-run';
  }
  return error?.kind === 'rejected' && saysNotRun(error.status) ? 'not-run' : 'may-have-run';
}

/** The problem that a caller sees when a stream did not come to its end. */
export default function streamProblem(request: RequestId, stream: StreamResult): ProblemDocument {
  const execution = executionOf(stream);
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
