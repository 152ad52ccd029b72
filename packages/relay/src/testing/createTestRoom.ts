import type { Clock, Milliseconds } from '@rattanreel/core';
import headerNames from './headerNames';

/** Requests that wait at an engine beyond its slots. */
const MAXIMUM_WAITING = 4;
const TURN_AWAY_WINDOW: Milliseconds = 1_000;

/** Creates the waiting room of an engine, which may be brittle: it then bears few requests too many. */
export default function createTestRoom(clock: Clock) {
  /** Requests that may be turned away in a second; undefined while the engine is not brittle. */
  let brittleness: number | undefined;
  let maximumWaiting = MAXIMUM_WAITING;
  let retryAfter: Milliseconds | undefined;
  let turnedAwayAt: Milliseconds[] = [];
  let turnAwayCount = 0;

  return {
    countTurnAways: () => turnAwayCount,
    isFull: (waiting: number): boolean => waiting >= maximumWaiting,
    /** Records that a request is turned away; returns whether the engine falls over. */
    turnAway(): boolean {
      turnAwayCount += 1;
      const now = clock.now();
      turnedAwayAt = [...turnedAwayAt.filter((at) => at > now - TURN_AWAY_WINDOW), now];
      if (brittleness === undefined || turnedAwayAt.length <= brittleness) {
        return false;
      }
      turnedAwayAt = [];
      return true;
    },
    getHeaders: (): Readonly<Record<string, string>> =>
      brittleness === undefined ? {} : { [headerNames.brittle]: String(brittleness) },
    setBrittle(turnAways: number | undefined): void {
      brittleness = turnAways;
    },
    /** Time for which an engine that turned a request away wants no other one of that host. */
    getRetryAfter: () => retryAfter,
    setRetryAfter(time: Milliseconds): void {
      retryAfter = time;
    },
    setMaximumWaiting(maximum: number): void {
      maximumWaiting = maximum;
    },
  };
}
