import type { Milliseconds } from '@rattanreel/core';
import type { UsageSum } from './types';

/** A window is fixed this long before it is due at the latest, for the record and the call. */
const SENDING_TIME: Milliseconds = 4_000;
/**
 * Time after the end of a window before it is fixed although all known hosts were heard: a host
 * whose clock is a little behind still counts in it.
 */
const SETTLING_TIME: Milliseconds = 300;

interface FixingOptions {
  /** Window time, in Unix milliseconds. */
  readonly time: number;
  readonly window: number;
  readonly windowLength: Milliseconds;
  readonly reportDelay: Milliseconds;
  /** Time of windows that ended before it and may have been fixed where this host cannot see it. */
  readonly fixedElsewhereUntil: number;
  readonly sum: Pick<UsageSum, 'isCounted' | 'missing'>;
}

/**
 * Decides whether a window that is not recorded is fixed now. Handles hosts that are late, lost or
 * cut off: it waits for them as long as the report can still be in time. A window is skipped when
 * no host counted in it, or when a record of it may be lost: a missing report is better than a
 * second one with other counts.
 */
export default function decideFixing(options: FixingOptions): 'wait' | 'fix' | 'skip' {
  const { time, window, windowLength, sum } = options;
  const end = (window + 1) * windowLength;
  if (!sum.isCounted || end <= options.fixedElsewhereUntil) {
    return 'skip';
  }
  const isLast = time >= end + options.reportDelay - SENDING_TIME;
  return isLast || (time >= end + SETTLING_TIME && sum.missing.length === 0) ? 'fix' : 'wait';
}
