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
  /** Returns the era that is known now; undefined before the first. */
  getKnown(): number | undefined;
  /**
   * Records a write that was sent while `sentIn` was known; returns false if it took effect in
   * another era, whose wait its sender has not kept.
   */
  tryRecordWrite(version: number, sentIn: number | undefined): boolean;
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

  function learn(next: number | undefined): void {
    if (next !== undefined && (era === undefined || next > era)) {
      era = next;
      knownSince = clock.now();
    }
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
    getKnown() {
      learn(options.getKnownEra?.());
      return era;
    },
    tryRecordWrite(version, sentIn) {
      if (options.getEra === undefined) {
        return true;
      }
      const writtenIn = getEra(version);
      learn(writtenIn);
      return writtenIn === sentIn;
    },
    getSettledSince: () =>
      options.getEra === undefined ? undefined : Math.max(knownSince, absentSince ?? knownSince),
  };
}
