import type { Clock, Milliseconds } from '@rattanreel/core';
import createRecentMap from '../crashes/createRecentMap';
import type { LatestRates, NamedLimit } from './types';

const MAXIMUM_RATES = 2_048;
const MAXIMUM_AGE: Milliseconds = 600_000;
/** A rate that was taken back is reported for this long, so that no older report revives it. */
const REPORT_TIME: Milliseconds = 10_000;

interface RateEntry {
  readonly rate: number | null;
  readonly seenAt: Milliseconds;
}

/**
 * Holds rates that servers name in their responses, as any host saw them last. The latest response
 * holds, whichever host received it.
 */
export default function createLatestRates(clock: Clock): LatestRates {
  const entries = createRecentMap<string, RateEntry>({
    maximumSize: MAXIMUM_RATES,
    maximumAge: MAXIMUM_AGE,
  });

  /** Sets a rate unless a later one is known; returns whether it changes. */
  function set(key: string, rate: number | null, seenAt: Milliseconds): boolean {
    const known = entries.get(key);
    if ((known === undefined && rate === null) || (known !== undefined && known.seenAt >= seenAt)) {
      return false;
    }
    entries.set(key, { rate, seenAt }, clock.now());
    return known?.rate !== rate;
  }

  return {
    record: (key, rate) => set(key, rate ?? null, clock.now()),
    isEmpty: () => entries.size === 0,
    tryGet: (key) => entries.get(key)?.rate ?? undefined,
    merge(report) {
      const now = clock.now();
      return Object.entries(report).filter(([key, { rate, age }]) => set(key, rate, now - age));
    },
    tryGetReport() {
      const now = clock.now();
      const reported = entries
        .list()
        .filter(([, { rate, seenAt }]) => rate !== null || now - seenAt <= REPORT_TIME)
        .map(([key, { rate, seenAt }]): readonly [string, NamedLimit] => [
          key,
          { rate, age: now - seenAt },
        ]);
      return reported.length === 0 ? undefined : Object.fromEntries(reported);
    },
  };
}
