import type { Context } from 'hono';
import type { AdministrationProblemType } from './types';

/** Answers with a problem document as RFC 9457 describes it; `details` are added to it. */
export default function sendAdministrationProblem(
  context: Context,
  type: AdministrationProblemType,
  details: object = {},
): never {
  const body = JSON.stringify({
    type: `urn:rattanreel:administration:${type.code}`,
    title: type.title,
    status: type.status,
    ...details,
  });
  // The routes declare the answers of their success only.
  return context.body(body, type.status, {
    'content-type': 'application/problem+json',
  }) as unknown as never;
}
