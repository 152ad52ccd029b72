const REQUEST_CHARACTERS = 8;

/** Text of token `index` of a request, so that a caller can tell its own answer from another's. */
export default function getTokenText(request: string, index: number): string {
  return `${request.slice(-REQUEST_CHARACTERS)}-${index} `;
}
