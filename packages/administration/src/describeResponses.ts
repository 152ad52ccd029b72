import schemas from './schemas';

/** The answer of a route in the OpenAPI document: one JSON object, or a problem document. */
export default function describeResponses(description: string) {
  return {
    200: { description, content: { 'application/json': { schema: schemas.response } } },
    default: { description: 'A problem document (RFC 9457)' },
  } as const;
}
