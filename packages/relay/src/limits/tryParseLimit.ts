/** Parses a number of requests per second; undefined when the header is absent or malformed. */
export default function tryParseLimit(
  text: string | readonly string[] | undefined,
): number | undefined {
  const isNumber = typeof text === 'string' && /^\s*\d{1,9}(\.\d{1,9})?\s*$/.test(text);
  return isNumber ? Number(text) : undefined;
}
