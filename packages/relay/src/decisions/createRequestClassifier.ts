import type { Milliseconds } from '@rattanreel/core';
import createMovingAverage from './createMovingAverage';
import MINIMUM_RETRY_FRACTION from './minimumRetryFraction';
import type { ClassifiedRequest, MovingAverage, RequestClass, RequestClassifier } from './types';

/**
 * The longest deadline of a route is kept for at least this time, and for at most twice this time.
 */
const DEADLINE_WINDOW: Milliseconds = 10_000;
/** Weight of one request in the average response length of its route. */
const RESPONSE_LENGTH_WEIGHT = 0.02;
/**
 * A response longer than this multiple of the route's average is classified as long: it occupies a
 * slot out of proportion to its value.
 */
const LONG_RESPONSE_FACTOR = 1.5;

interface RouteStatistics {
  readonly averageOutputTokens: MovingAverage;
  windowStart: Milliseconds;
  previousLongestDeadline: Milliseconds;
  longestDeadline: Milliseconds;
  lastRefusedAt: Milliseconds;
}

/**
 * Distinguishes returning requests from fresh ones, and long responses from short ones, by the
 * recent requests of the same route. A refused caller retries after `MINIMUM_RETRY_FRACTION` of its
 * time at the earliest, and within its deadline. So a request that has more time left than the rest
 * of the route's longest deadline is fresh, however much the deadlines of callers differ. All
 * requests are fresh if none was refused recently.
 */
export default function createRequestClassifier(): RequestClassifier {
  const statisticsByRoute = new Map<string, RouteStatistics>();

  function getStatistics(route: string, outputTokens: number, now: Milliseconds): RouteStatistics {
    let statistics = statisticsByRoute.get(route);
    if (statistics === undefined) {
      const averageOutputTokens = createMovingAverage({
        initial: outputTokens,
        weight: RESPONSE_LENGTH_WEIGHT,
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

  /** Returns the longest deadline of the route, that of a request which arrives now included. */
  function getLongestDeadline(
    statistics: RouteStatistics,
    deadline: Milliseconds,
    now: Milliseconds,
  ): Milliseconds {
    const isOver = now - statistics.windowStart >= DEADLINE_WINDOW;
    const previous = isOver ? 0 : statistics.previousLongestDeadline;
    return Math.max(statistics.longestDeadline, previous, deadline);
  }

  function decide({ route, deadline, outputTokens, now }: ClassifiedRequest): RequestClass {
    const statistics = statisticsByRoute.get(route);
    if (statistics === undefined) {
      return { isReturning: false, isLong: false };
    }
    const longest = getLongestDeadline(statistics, deadline, now);
    const mayBeReturning = now - statistics.lastRefusedAt <= longest;
    return {
      isReturning: mayBeReturning && deadline <= longest * (1 - MINIMUM_RETRY_FRACTION),
      isLong: outputTokens > statistics.averageOutputTokens.get() * LONG_RESPONSE_FACTOR,
    };
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
    classify(request) {
      const { route, deadline, outputTokens, now } = request;
      const decision = decide(request);
      const statistics = getStatistics(route, outputTokens, now);
      statistics.averageOutputTokens.add(outputTokens);
      recordDeadline(statistics, deadline, now);
      return decision;
    },
    preview: decide,
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
