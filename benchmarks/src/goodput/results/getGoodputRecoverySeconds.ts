import type { Milliseconds } from '@rattanreel/core';
import type { LoadStep, MeasuredWindow, RequestRecord } from '../types';
import getShare from './getShare';

const WINDOW_MILLISECONDS = 5_000;
const STEP_MILLISECONDS = 500;
/** Share of the goodput before the burst at which goodput counts as recovered. */
const RECOVERED_SHARE = 0.98;
const MILLISECONDS_PER_SECOND = 1_000;

function getAnsweredShare(
  records: readonly RequestRecord[],
  from: Milliseconds,
  to: Milliseconds,
): number {
  const within = records.filter(({ arrival }) => arrival.at >= from && arrival.at < to);
  const answered = within.filter(({ outcome }) => outcome === 'answered');
  return getShare(answered.length, within.length);
}

/**
 * Returns the seconds from the end of a burst until arrivals are answered as often as before it: 0
 * without a burst, infinity without recovery.
 */
export default function getGoodputRecoverySeconds(
  records: readonly RequestRecord[],
  load: readonly LoadStep[],
  window: MeasuredWindow,
): number {
  const [, start, end] = load;
  if (start === undefined || end === undefined) {
    return 0;
  }
  const before = getAnsweredShare(records, window.from, start.from);
  for (let at = end.from; at + WINDOW_MILLISECONDS <= window.end; at += STEP_MILLISECONDS) {
    if (getAnsweredShare(records, at, at + WINDOW_MILLISECONDS) >= before * RECOVERED_SHARE) {
      return (at - end.from) / MILLISECONDS_PER_SECOND;
    }
  }
  return Number.POSITIVE_INFINITY;
}
