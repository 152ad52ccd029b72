import type { Milliseconds } from '@rattanreel/core';

/** Callers honour a `retry-after` of at most this fraction of their remaining time. */
const MAXIMUM_RETRY_FRACTION = 1 / 3;

/** Returns the delay that a refused caller is told, which it honours. */
export default function limitRetryDelay(
  delay: Milliseconds,
  remainingTime: Milliseconds,
): Milliseconds {
  return Math.min(delay, remainingTime * MAXIMUM_RETRY_FRACTION);
}
