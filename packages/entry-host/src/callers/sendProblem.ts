import type { Context } from 'hono';
import type { ProblemDocument } from './types';

/** Responds with a problem document, with a `retry-after` header when it has a retry hint. */
export default function sendProblem(context: Context, problem: ProblemDocument): Response {
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' };
  if (problem.retryAfterSeconds !== undefined) {
    headers['retry-after'] = String(problem.retryAfterSeconds);
  }
  if (problem.request !== undefined) {
    headers['x-request-id'] = problem.request;
  }
  return context.body(JSON.stringify(problem), problem.status, headers);
}
