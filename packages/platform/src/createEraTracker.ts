import type { Milliseconds } from '@rattanreel/core';
import type { LeaseOptions, StoredObject } from './types';

interface EraTracker {
  /** Whether the store has eras. */
  readonly isTracking: boolean;
  getEra(version: number): number;
  /** Returns whether a higher era than this one is known. */
  isOutdated(era: number): boolean;
  /** Records a read of the lease object; undefined if there is none. */
  observe(object: StoredObject | undefined): void;
  /** Records a write; returns false if it took effect in an era that was not known before it. */
  tryRecordWrite(version: number): boolean;
  /** Returns since when the era, and the absence of a lease, are known; undefined without eras. */
  getSettledSince(): Milliseconds | undefined;
}

/** Tracks the era of the store of one lease, which rises when it returns from an older copy. */
export default function createEraTracker(
  options: Pick<LeaseOptions, 'clock' | 'getEra' | 'getKnownEra'>,
): EraTracker {
  const { clock } = options;
  let era: number | undefined;
  let knownSince = clock.now();
  let absentSince: Milliseconds | undefined;

  /** Returns whether the era is a newly learnt one. */
  function learn(next: number | undefined): boolean {
    if (next === undefined || (era !== undefined && next <= era)) {
      return false;
    }
    era = next;
    knownSince = clock.now();
    return true;
  }

  function getEra(version: number): number {
    return options.getEra?.(version) ?? 0;
  }

  return {
    isTracking: options.getEra !== undefined,
    getEra,
    isOutdated(of) {
      learn(options.getKnownEra?.());
      return era !== undefined && of < era;
    },
    observe(object) {
      if (options.getEra === undefined) {
        return;
      }
      learn(options.getKnownEra?.());
      if (object === undefined) {
        absentSince ??= clock.now();
      } else {
        absentSince = undefined;
        learn(getEra(object.version));
      }
    },
    tryRecordWrite: (version) => options.getEra === undefined || !learn(getEra(version)),
    getSettledSince: () =>
      options.getEra === undefined ? undefined : Math.max(knownSince, absentSince ?? knownSince),
  };
}
