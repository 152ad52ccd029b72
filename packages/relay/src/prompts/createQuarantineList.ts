import type { Milliseconds } from '@rattanreel/core';
import type { PromptPartId } from '../types';
import createRecentMap from './createRecentMap';
import type { QuarantineList } from './types';

const MAXIMUM_QUARANTINES = 128;
/** Time of the first quarantine of a part; doubled each time that servers end under it again. */
const INITIAL_QUARANTINE: Milliseconds = 300_000;
const MAXIMUM_QUARANTINE: Milliseconds = 86_400_000;

interface QuarantineEntry {
  readonly until: Milliseconds;
  readonly strikes: number;
}

/**
 * Holds the parts of prompts that are sent to no server. Hosts take over each other's quarantines;
 * the earlier of two ends holds, so that delays of messages do not prolong a quarantine.
 */
export default function createQuarantineList(): QuarantineList {
  const entries = createRecentMap<PromptPartId, QuarantineEntry>({
    maximumSize: MAXIMUM_QUARANTINES,
    maximumAge: 2 * MAXIMUM_QUARANTINE,
  });

  return {
    add(part, now) {
      const strikes = (entries.get(part)?.strikes ?? 0) + 1;
      const time = Math.min(INITIAL_QUARANTINE * 2 ** (strikes - 1), MAXIMUM_QUARANTINE);
      entries.set(part, { until: now + time, strikes }, now);
    },
    merge: (quarantined, now) =>
      Object.entries(quarantined).flatMap(([part, { remaining, strikes }]) => {
        const known = entries.get(part);
        const until = now + remaining;
        if (known === undefined || known.strikes < strikes) {
          entries.set(part, { until, strikes }, now);
          return [part];
        }
        if (known.strikes === strikes && until < known.until) {
          entries.set(part, { until, strikes }, now);
        }
        return [];
      }),
    tryGetRemaining(part, now) {
      const remaining = (entries.get(part)?.until ?? -Infinity) - now;
      return remaining > 0 ? remaining : undefined;
    },
    tryGetLastEnd(part, now) {
      const until = entries.get(part)?.until;
      return until !== undefined && until <= now ? until : undefined;
    },
    getStrikes: (part) => entries.get(part)?.strikes ?? 0,
    list: (now) =>
      Object.fromEntries(
        entries
          .list()
          .filter(([, { until }]) => until > now)
          .map(([part, { until, strikes }]) => [part, { remaining: until - now, strikes }]),
      ),
  };
}
