import type { Milliseconds } from '@rattanreel/core';

const MILLISECONDS_PER_SECOND = 1_000;
/** Longer times are shortened, so that a wrong value does not exclude a server for good. */
const MAXIMUM_RETRY_AFTER: Milliseconds = 60_000;

/** Parses a number of seconds; undefined when the header is absent or malformed. */
export default function tryParseRetryAfter(
  text: string | readonly string[] | undefined,
): Milliseconds | undefined {
  const isNumber = typeof text === 'string' && /^\d{1,9}(\.\d{1,6})?$/.test(text);
  return isNumber
    ? Math.min(Number(text) * MILLISECONDS_PER_SECOND, MAXIMUM_RETRY_AFTER)
    : undefined;
}
