import type { Milliseconds } from '@rattanreel/core';
import type { TraitId } from '../types';
import createRecentMap from './createRecentMap';
import type { QuarantineList } from './types';

const MAXIMUM_QUARANTINES = 128;
/** Time of the first quarantine of a trait; doubled each time that servers end under it again. */
const INITIAL_QUARANTINE: Milliseconds = 300_000;
const MAXIMUM_QUARANTINE: Milliseconds = 86_400_000;

interface QuarantineEntry {
  readonly until: Milliseconds;
  readonly strikes: number;
}

/**
 * Holds the traits whose requests are sent to no server. Hosts take over each other's quarantines;
 * the earlier of two ends holds, so that delays of messages do not prolong a quarantine.
 */
export default function createQuarantineList(): QuarantineList {
  const entries = createRecentMap<TraitId, QuarantineEntry>({
    maximumSize: MAXIMUM_QUARANTINES,
    maximumAge: 2 * MAXIMUM_QUARANTINE,
  });

  return {
    add(trait, now) {
      const strikes = (entries.get(trait)?.strikes ?? 0) + 1;
      const time = Math.min(INITIAL_QUARANTINE * 2 ** (strikes - 1), MAXIMUM_QUARANTINE);
      entries.set(trait, { until: now + time, strikes }, now);
    },
    merge: (quarantined, now) =>
      Object.entries(quarantined).flatMap(([trait, { remaining, strikes }]) => {
        const known = entries.get(trait);
        const until = now + remaining;
        if (known === undefined || known.strikes < strikes) {
          entries.set(trait, { until, strikes }, now);
          return [trait];
        }
        if (known.strikes === strikes && until < known.until) {
          entries.set(trait, { until, strikes }, now);
        }
        return [];
      }),
    tryGetRemaining(trait, now) {
      const remaining = (entries.get(trait)?.until ?? -Infinity) - now;
      return remaining > 0 ? remaining : undefined;
    },
    tryGetLastEnd(trait, now) {
      const until = entries.get(trait)?.until;
      return until !== undefined && until <= now ? until : undefined;
    },
    getStrikes: (trait) => entries.get(trait)?.strikes ?? 0,
    list: (now) =>
      Object.fromEntries(
        entries
          .list()
          .filter(([, { until }]) => until > now)
          .map(([trait, { until, strikes }]) => [trait, { remaining: until - now, strikes }]),
      ),
  };
}
