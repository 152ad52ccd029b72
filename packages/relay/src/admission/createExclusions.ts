import type { EntryHostId, Milliseconds } from '@rattanreel/core';

/** Time for which a host that was lost is excluded; doubled with each further loss. */
const INITIAL_EXCLUSION: Milliseconds = 1_000;
const MAXIMUM_EXCLUSION: Milliseconds = 16_000;
/** A host that was not lost for this long starts with the initial exclusion again. */
const FORGIVENESS: Milliseconds = 30_000;

interface Exclusion {
  readonly until: Milliseconds;
  readonly duration: Milliseconds;
  readonly lostAt: Milliseconds;
}

interface Exclusions {
  /** Excludes a host, for longer each time unless a duration is given. */
  add(host: EntryHostId, now: Milliseconds, duration?: Milliseconds): void;
  has(host: EntryHostId, now: Milliseconds): boolean;
}

/** Holds the hosts that are not used as schedulers for a time. */
export default function createExclusions(): Exclusions {
  const exclusions = new Map<EntryHostId, Exclusion>();

  return {
    add(host, now, duration) {
      const known = exclusions.get(host);
      const isForgiven = known === undefined || now - known.lostAt > FORGIVENESS;
      const next =
        duration ??
        (isForgiven ? INITIAL_EXCLUSION : Math.min(known.duration * 2, MAXIMUM_EXCLUSION));
      exclusions.set(host, { until: now + next, duration: next, lostAt: now });
    },
    has: (host, now) => (exclusions.get(host)?.until ?? -Infinity) > now,
  };
}
