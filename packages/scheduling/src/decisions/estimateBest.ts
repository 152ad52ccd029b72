import type { Milliseconds } from '@rattanreel/core';
import isTrusted from '../servers/isTrusted';
import type { GrantRequested } from '../types';
import getPoolSpeed from './getPoolSpeed';
import type { SchedulerState } from './types';

/** Shortest expected times of a request at any idle backend server of the pool. */
interface BestCourse {
  readonly firstTokenAfter: Milliseconds;
  readonly finishAfter: Milliseconds;
}

const UNKNOWN: BestCourse = { firstTokenAfter: 0, finishAfter: 0 };

/** Estimates the best that the pool could do for a request if it were idle; nothing while speeds are not learnt. */
export default function estimateBest(
  state: SchedulerState,
  asked: GrantRequested,
  now: Milliseconds,
): BestCourse {
  const output = state.work.expectedOutputTokens(asked.route, asked.maximumOutputTokens);
  let firstTokenAfter = Number.POSITIVE_INFINITY;
  let finishAfter = Number.POSITIVE_INFINITY;
  for (const server of getPoolSpeed(state, now).fastest) {
    if (!isTrusted(server, now)) {
      return UNKNOWN;
    }
    const cached = server.prefixes.expectedTokens(asked.prefixHashes, asked.promptTokens);
    const firstToken = server.speed.firstTokenAfter(asked.promptTokens - cached);
    firstTokenAfter = Math.min(firstTokenAfter, firstToken);
    finishAfter = Math.min(finishAfter, firstToken + (output - 1) * server.speed.tokenTime(1));
  }
  return Number.isFinite(finishAfter) ? { firstTokenAfter, finishAfter } : UNKNOWN;
}
