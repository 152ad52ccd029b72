import type { Milliseconds } from '@rattanreel/core';

interface CanMeetDeadlineOptions {
  /** Tokens of the answer, at most or as its caller expects. */
  readonly outputTokens: number;
  /** Time to a first answer, and for each token, at a server of average pace. */
  readonly timeToFirstData: Milliseconds;
  readonly timePerToken: Milliseconds;
  /** The server's time per unit of work against the average. */
  readonly slowness: number;
  readonly timeLeft: Milliseconds;
}

/**
 * Whether an answer is expected to end within its caller's deadline at this server. A long answer that
 * a slow server cannot end in time holds its place for the whole deadline and is lost all the same.
 */
export default function canMeetDeadline(options: CanMeetDeadlineOptions): boolean {
  const { outputTokens, timeToFirstData, timePerToken, slowness, timeLeft } = options;
  return timeToFirstData + outputTokens * timePerToken * slowness <= timeLeft;
}
