import type { Milliseconds } from '@rattanreel/core';
import type { GrantReleased } from '../types';

/** Returns the mean time between the tokens of an answer; undefined when it had fewer than two. */
export default function getMeanTokenTime(released: GrantReleased): Milliseconds | undefined {
  if (released.firstTokenAfter === undefined || released.outputTokens < 2) {
    return undefined;
  }
  return (released.duration - released.firstTokenAfter) / (released.outputTokens - 1);
}
