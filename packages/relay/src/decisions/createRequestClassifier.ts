import type { Milliseconds } from '@rattanreel/core';
import createMovingAverage from './createMovingAverage';
import MINIMUM_RETRY_FRACTION from './minimumRetryFraction';
import type { MovingAverage, RequestClassifier } from './types';

/** Time for which the longest deadline of a route is remembered at least; twice that at most. */
const DEADLINE_WINDOW: Milliseconds = 10_000;
/** Weight of one request in the mean length of a route's answers. */
const ANSWER_LENGTH_WEIGHT = 0.02;
/** An answer this many times as long as the route's mean holds its place for longer than its worth. */
const LONG_ANSWER_FACTOR = 1.5;

interface RouteStatistics {
  readonly averageOutputTokens: MovingAverage;
  windowStart: Milliseconds;
  previousLongestDeadline: Milliseconds;
  longestDeadline: Milliseconds;
  lastRefusedAt: Milliseconds;
}

/**
 * Tells returning requests from fresh ones and long answers from short ones, by what callers of the
 * same route ask for. A refused caller comes back after `RETRY_PART` of its time at the earliest and
 * within its deadline, so a request with more time than the rest of the longest deadline is fresh,
 * however much the deadlines of callers differ; and so are all while nothing was refused.
 */
export default function createRequestClassifier(): RequestClassifier {
  const statisticsByRoute = new Map<string, RouteStatistics>();

  function getStatistics(route: string, outputTokens: number, now: Milliseconds): RouteStatistics {
    let statistics = statisticsByRoute.get(route);
    if (statistics === undefined) {
      const averageOutputTokens = createMovingAverage({
        initial: outputTokens,
        weight: ANSWER_LENGTH_WEIGHT,
      });
      statistics = {
        averageOutputTokens,
        windowStart: now,
        previousLongestDeadline: 0,
        longestDeadline: 0,
        lastRefusedAt: -Infinity,
      };
      statisticsByRoute.set(route, statistics);
    }
    return statistics;
  }

  function recordDeadline(
    statistics: RouteStatistics,
    deadline: Milliseconds,
    now: Milliseconds,
  ): void {
    if (now - statistics.windowStart >= DEADLINE_WINDOW) {
      statistics.previousLongestDeadline = statistics.longestDeadline;
      statistics.longestDeadline = 0;
      statistics.windowStart = now;
    }
    statistics.longestDeadline = Math.max(statistics.longestDeadline, deadline);
  }

  return {
    classify({ route, deadline, outputTokens, now }) {
      const statistics = getStatistics(route, outputTokens, now);
      const isLong = outputTokens > statistics.averageOutputTokens.get() * LONG_ANSWER_FACTOR;
      statistics.averageOutputTokens.add(outputTokens);
      recordDeadline(statistics, deadline, now);
      const longest = Math.max(statistics.longestDeadline, statistics.previousLongestDeadline);
      const mayBeReturning = now - statistics.lastRefusedAt <= longest;
      return {
        isReturning: mayBeReturning && deadline <= longest * (1 - MINIMUM_RETRY_FRACTION),
        isLong,
      };
    },
    recordRefusal(route, now) {
      const statistics = statisticsByRoute.get(route);
      if (statistics !== undefined) {
        statistics.lastRefusedAt = now;
      }
    },
    retainRoutes(routes) {
      [...statisticsByRoute.keys()]
        .filter((route) => !routes.has(route))
        .forEach((route) => statisticsByRoute.delete(route));
    },
  };
}
