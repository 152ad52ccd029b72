const REQUEST_CHARACTERS = 8;

/**
 * Returns the text of token `index`; it contains the request's id, so that callers can detect
 * mixed-up responses.
 */
export default function getTokenText(request: string, index: number): string {
  return `${request.slice(-REQUEST_CHARACTERS)}-${index} `;
}
