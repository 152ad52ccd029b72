import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from '../servers/types';
import isUsable from './isUsable';
import type { PoolSpeed, SchedulerState } from './types';

const KEPT_FOR_MILLISECONDS = 250;

function measure(state: SchedulerState): PoolSpeed {
  const usable: BackendServer[] = [];
  let slots = 0;
  let largestMemoryTokens = 0;
  let tokenTime = Number.POSITIVE_INFINITY;
  state.servers.forEach((server) => {
    largestMemoryTokens = Math.max(largestMemoryTokens, server.memoryTokens);
    if (isUsable(server)) {
      usable.push(server);
      slots += server.limit.current;
      tokenTime = Math.min(tokenTime, server.speed.tokenTime(1));
    }
  });
  return {
    slots,
    largestMemoryTokens,
    usableServers: usable.length,
    isLearnt: usable.length > 0 && usable.every((server) => server.speed.isLearnt),
    firstTokenAfter: (tokens) =>
      usable.reduce(
        (best, server) => Math.min(best, server.speed.firstTokenAfter(tokens, 1)),
        Number.POSITIVE_INFINITY,
      ),
    tokenTime,
  };
}

/** The pool's idle speed and slots, measured anew when the last measurement is old. */
export default function getPoolSpeed(state: SchedulerState, now: Milliseconds): PoolSpeed {
  if (state.poolSpeed === undefined || now - state.poolSpeedAt > KEPT_FOR_MILLISECONDS) {
    state.poolSpeed = measure(state);
    state.poolSpeedAt = now;
  }
  return state.poolSpeed;
}
