import type { Execution } from '@rattanreel/orders';
import type { ProblemDetails, ProblemDocument, ProblemType } from './types';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Creates a problem document according to RFC 9457, with what is known of the request's execution.
 */
export default function createProblem(
  type: ProblemType,
  execution: Execution,
  details: ProblemDetails = {},
): ProblemDocument {
  const { request, detail, retryAfter } = details;
  return {
    type: `urn:rattanreel:problem:${type.code}`,
    title: type.title,
    status: type.status,
    execution,
    error: { message: type.title, type: execution, code: type.code },
    ...(request === undefined ? {} : { request }),
    ...(detail === undefined ? {} : { detail }),
    ...(retryAfter === undefined
      ? {}
      : { retryAfterSeconds: Math.max(1, Math.ceil(retryAfter / MILLISECONDS_PER_SECOND)) }),
  };
}
