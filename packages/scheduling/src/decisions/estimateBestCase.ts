import type { Milliseconds } from '@rattanreel/core';
import isSpeedReliable from '../servers/isSpeedReliable';
import type { GrantRequested } from '../types';
import getPoolThroughput from './getPoolThroughput';
import type { SchedulerState } from './types';

/** Shortest expected times of a request at any idle backend server of the pool. */
interface BestCaseEstimate {
  readonly firstTokenAfter: Milliseconds;
  readonly finishAfter: Milliseconds;
}

const UNKNOWN_ESTIMATE: BestCaseEstimate = { firstTokenAfter: 0, finishAfter: 0 };

/**
 * Estimates the shortest times of a request if the pool were idle. Both are 0 when no backend
 * server is usable or the speed of one of the fastest is not reliable.
 */
export default function estimateBestCase(
  state: SchedulerState,
  grantRequest: GrantRequested,
  now: Milliseconds,
): BestCaseEstimate {
  const outputTokens = state.workEstimates.estimateOutputTokens(
    grantRequest.route,
    grantRequest.maximumOutputTokens,
  );
  let firstTokenAfter = Number.POSITIVE_INFINITY;
  let finishAfter = Number.POSITIVE_INFINITY;
  for (const server of getPoolThroughput(state, now).fastest) {
    if (!isSpeedReliable(server, now)) {
      return UNKNOWN_ESTIMATE;
    }
    const cachedTokens = server.prefixes.estimateCachedTokens(
      grantRequest.prefixHashes,
      grantRequest.promptTokens,
    );
    const firstToken = server.speed.predictFirstTokenAfter(
      grantRequest.promptTokens - cachedTokens,
    );
    firstTokenAfter = Math.min(firstTokenAfter, firstToken);
    finishAfter = Math.min(
      finishAfter,
      firstToken + (outputTokens - 1) * server.speed.predictTokenTime(1),
    );
  }
  return Number.isFinite(finishAfter) ? { firstTokenAfter, finishAfter } : UNKNOWN_ESTIMATE;
}
