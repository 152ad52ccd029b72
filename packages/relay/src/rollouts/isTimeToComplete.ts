import type { Milliseconds } from '@rattanreel/core';

/**
 * Time for which no host may report a request at the old servers. A summary is up to 1 s old before
 * its host counts as unreachable.
 */
const QUIET_TIME: Milliseconds = 1_000;
/** Part of the duration, and longest time before the deadline, at which completion is written. */
const LAST_PART = 0.05;
const LAST_TIME: Milliseconds = 1_000;

interface CompletionTimes {
  /** Time since which no request is known at the old servers; undefined if some may be there. */
  readonly drainedFor: Milliseconds | undefined;
  readonly elapsed: Milliseconds;
  readonly duration: Milliseconds;
}

/** Returns whether a good version's roll-out is to be completed now: drained, or soon due. */
export default function isTimeToComplete(times: CompletionTimes): boolean {
  const { drainedFor = -Infinity, elapsed, duration } = times;
  return (
    drainedFor >= QUIET_TIME || elapsed >= duration - Math.min(LAST_TIME, duration * LAST_PART)
  );
}
