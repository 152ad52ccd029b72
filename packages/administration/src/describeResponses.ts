import schemas from './schemas';

/** Describes a route's responses in the OpenAPI document: a JSON object or a problem document. */
export default function describeResponses(description: string) {
  return {
    200: { description, content: { 'application/json': { schema: schemas.response } } },
    default: { description: 'A problem document (RFC 9457)' },
  } as const;
}
