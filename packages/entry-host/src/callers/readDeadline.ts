import type { Milliseconds } from '@rattanreel/core';

const LONGEST_DEADLINE_MS = 3_600_000;

/** The time that a caller allows for the whole answer, from the header `x-deadline-ms`; undefined when invalid. */
export default function readDeadline(
  header: string | undefined,
  whenAbsent: Milliseconds,
): Milliseconds | undefined {
  if (header === undefined) {
    return whenAbsent;
  }
  const deadline = Number(header);
  return Number.isFinite(deadline) && deadline > 0
    ? Math.min(deadline, LONGEST_DEADLINE_MS)
    : undefined;
}
