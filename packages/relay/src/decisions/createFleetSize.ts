import type { Milliseconds } from '@rattanreel/core';

/** The largest size is kept for at least this time, and for at most twice this time. */
const WINDOW: Milliseconds = 20_000;

interface FleetSize {
  /** Records the number of hosts counted now. */
  record(hosts: number, now: Milliseconds): void;
  get(): number;
}

/**
 * Estimates the number of hosts in the fleet as the largest recent count. Hosts that are cut off
 * are missing from the counts of a moment, but keep their share of what all hosts may spend.
 */
export default function createFleetSize(): FleetSize {
  let windowStart = -Infinity;
  let previous = 1;
  let current = 1;

  return {
    record(hosts, now) {
      if (now - windowStart >= WINDOW) {
        previous = current;
        current = 1;
        windowStart = now;
      }
      current = Math.max(current, hosts);
    },
    get: () => Math.max(previous, current),
  };
}
