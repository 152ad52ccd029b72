import type { Milliseconds } from '@rattanreel/core';

const MAXIMUM_DEADLINE_MS = 3_600_000;

/**
 * Reads the time that a caller allows for the whole answer from the header `x-deadline-ms`; the
 * default when the header is absent, undefined when it is invalid.
 */
export default function readDeadline(
  header: string | undefined,
  defaultDeadline: Milliseconds,
): Milliseconds | undefined {
  if (header === undefined) {
    return defaultDeadline;
  }
  const deadline = Number(header);
  return Number.isFinite(deadline) && deadline > 0
    ? Math.min(deadline, MAXIMUM_DEADLINE_MS)
    : undefined;
}
