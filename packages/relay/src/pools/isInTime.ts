import type { Milliseconds } from '@rattanreel/core';
import canMeetDeadline from '../decisions/canMeetDeadline';
import type { QueuedRequest } from '../types';

interface ExpectedTimes {
  readonly timeToFirstData: { get(): Milliseconds };
  readonly timePerToken: { get(): Milliseconds };
}

/** Returns whether a request that is sent now to a server of this slowness meets its deadline. */
export default function isInTime(
  { timeToFirstData, timePerToken }: ExpectedTimes,
  slowness: number,
  { outputTokens, priority }: Pick<QueuedRequest, 'outputTokens' | 'priority'>,
  now: Milliseconds,
): boolean {
  return canMeetDeadline({
    outputTokens,
    timeToFirstData: timeToFirstData.get(),
    timePerToken: timePerToken.get(),
    slowness,
    timeLeft: priority.deadlineAt - now,
  });
}
