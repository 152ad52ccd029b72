import type { Milliseconds } from '@rattanreel/core';

interface CanMeetDeadlineOptions {
  /** Tokens of the response: the maximum, or the caller's estimate. */
  readonly outputTokens: number;
  /** Time to the first response data, and for each token, at a server of average speed. */
  readonly timeToFirstData: Milliseconds;
  readonly timePerToken: Milliseconds;
  /** The server's time per unit of work relative to the average. */
  readonly slowness: number;
  readonly timeLeft: Milliseconds;
}

/**
 * Returns whether a response is expected to be complete within its caller's deadline at this
 * server. A long response that a slow server cannot complete in time holds its slot for the whole
 * deadline and is lost all the same.
 */
export default function canMeetDeadline(options: CanMeetDeadlineOptions): boolean {
  const { outputTokens, timeToFirstData, timePerToken, slowness, timeLeft } = options;
  return timeToFirstData + outputTokens * timePerToken * slowness <= timeLeft;
}
