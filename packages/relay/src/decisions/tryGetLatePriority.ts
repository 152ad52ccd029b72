import type { Milliseconds } from '@rattanreel/core';
import type { Priority } from '../types';
import RETURNING_RANK_STEP from './returningRankStep';

/**
 * Returns the priority with which a request that cannot meet its objective waits on, behind requests
 * that can; undefined if its caller would not wait for it. Answers bursts that end within the time
 * that callers wait: refused, most of these callers would return at the height of the burst.
 */
export default function tryGetLatePriority(
  priority: Priority,
  now: Milliseconds,
): Priority | undefined {
  const { rank, floorRank, serveLateBy } = priority;
  if (serveLateBy === undefined || serveLateBy <= now) {
    return undefined;
  }
  return {
    ...priority,
    rank: rank + RETURNING_RANK_STEP,
    floorRank: floorRank + RETURNING_RANK_STEP,
    isReturning: true,
    serveBy: serveLateBy,
    serveLateBy: undefined,
  };
}
