import type { Milliseconds } from '@rattanreel/core';
import createMovingMean from './createMovingMean';
import RETRY_PART from './retryPart';
import type { MovingMean, RequestHabits } from './types';

/** Time for which the longest deadline of a route is remembered at least; twice that at most. */
const WINDOW: Milliseconds = 10_000;
/** Weight of one request in the mean length of a route's answers. */
const LENGTH_WEIGHT = 0.02;
/** An answer this many times as long as the route's mean holds its place for longer than its worth. */
const LONG_MULTIPLE = 1.5;

interface Habit {
  readonly length: MovingMean;
  windowStart: Milliseconds;
  longestBefore: Milliseconds;
  longest: Milliseconds;
  refusedAt: Milliseconds;
}

/**
 * Tells returning requests from fresh ones and long answers from short ones, by what callers of the
 * same route ask for. A refused caller comes back after `RETRY_PART` of its time at the earliest and
 * within its deadline, so a request with more time than the rest of the longest deadline is fresh,
 * however much the deadlines of callers differ; and so are all while nothing was refused.
 */
export default function createRequestHabits(): RequestHabits {
  const habits = new Map<string, Habit>();

  function getHabit(route: string, outputTokens: number, now: Milliseconds): Habit {
    let habit = habits.get(route);
    if (habit === undefined) {
      const length = createMovingMean({ initial: outputTokens, weight: LENGTH_WEIGHT });
      habit = { length, windowStart: now, longestBefore: 0, longest: 0, refusedAt: -Infinity };
      habits.set(route, habit);
    }
    return habit;
  }

  function noteDeadline(habit: Habit, deadline: Milliseconds, now: Milliseconds): void {
    if (now - habit.windowStart >= WINDOW) {
      habit.longestBefore = habit.longest;
      habit.longest = 0;
      habit.windowStart = now;
    }
    habit.longest = Math.max(habit.longest, deadline);
  }

  return {
    judge({ route, deadline, outputTokens, now }) {
      const habit = getHabit(route, outputTokens, now);
      const isLong = outputTokens > habit.length.get() * LONG_MULTIPLE;
      habit.length.add(outputTokens);
      noteDeadline(habit, deadline, now);
      const longest = Math.max(habit.longest, habit.longestBefore);
      const mayReturn = now - habit.refusedAt <= longest;
      return { isReturning: mayReturn && deadline <= longest * (1 - RETRY_PART), isLong };
    },
    noteRefused(route, now) {
      const habit = habits.get(route);
      if (habit !== undefined) {
        habit.refusedAt = now;
      }
    },
    keepOnly(routes) {
      [...habits.keys()]
        .filter((route) => !routes.has(route))
        .forEach((route) => habits.delete(route));
    },
  };
}
