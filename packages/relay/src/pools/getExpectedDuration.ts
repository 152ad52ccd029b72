import type { Milliseconds } from '@rattanreel/core';
import type { PoolAverages } from './types';

/** Returns the time that a response of this length is expected to take, as measured so far. */
export default function getExpectedDuration(
  averages: PoolAverages,
  outputTokens: number,
): Milliseconds {
  const timePerToken = averages.timePerToken.get();
  return timePerToken === 0
    ? averages.duration.get()
    : averages.timeToFirstData.get() + outputTokens * timePerToken;
}
