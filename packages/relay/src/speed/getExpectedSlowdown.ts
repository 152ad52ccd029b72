import type { Milliseconds } from '@rattanreel/core';
import type { SpeedObservation } from './types';

/** Slowdowns last 1 to 3 s, so after 2 s without a report one may as well have ended. */
const HALF_LIFE: Milliseconds = 2_000;
/** Bounds of what is believed of a report, so that one wrong figure does not shut a server out. */
const MINIMUM_SLOWDOWN = 0.25;
const MAXIMUM_SLOWDOWN = 16;

/**
 * Returns the slowdown to expect of a server from its last report: it returns to the usual with the
 * age of the report, so that a server which was slow is tried again. Load pattern: servers that
 * become several times slower for a few seconds, each at its own time.
 */
export default function getExpectedSlowdown(
  { slowdown, observedAt }: SpeedObservation,
  now: Milliseconds,
): number {
  const bounded = Math.min(Math.max(slowdown, MINIMUM_SLOWDOWN), MAXIMUM_SLOWDOWN);
  return 1 + (bounded - 1) * 0.5 ** (Math.max(now - observedAt, 0) / HALF_LIFE);
}
