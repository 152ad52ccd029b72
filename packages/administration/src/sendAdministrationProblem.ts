import type { Context } from 'hono';
import type { AdministrationProblemType } from './types';

/** Answers with an RFC 9457 problem document that also contains the members of `details`. */
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
  // The routes declare the types of their success responses only.
  return context.body(body, type.status, {
    'content-type': 'application/problem+json',
  }) as unknown as never;
}
