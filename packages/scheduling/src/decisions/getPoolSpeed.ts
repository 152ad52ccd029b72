import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from '../servers/types';
import isUsable from './isUsable';
import type { PoolSpeed, SchedulerState } from './types';

const KEPT_FOR_MILLISECONDS = 250;
const SLOW_START_PROSPECT = 8;
const FASTEST_KEPT = 16;
const TYPICAL_TOKENS = 256;
const SMALLEST_TIME = 1e-6;

/** Streams that a backend server can soon run, by its bound and by its memory. */
function prospectiveStreams(state: SchedulerState, server: BackendServer): number {
  const { current, isSlowStart } = server.limit;
  const bound = isSlowStart
    ? Math.min(server.settings.maximumStreams, current * SLOW_START_PROSPECT)
    : current;
  return Math.min(bound, server.memoryTokens / state.work.meanReserved);
}

/** Time that a typical request takes at an idle backend server. */
function typicalTime(server: BackendServer): Milliseconds {
  const { speed } = server;
  return speed.firstTokenAfter(TYPICAL_TOKENS) + TYPICAL_TOKENS * speed.tokenTime(1);
}

function measure(state: SchedulerState): PoolSpeed {
  const usable = [...state.servers.values()].filter((server) => isUsable(state, server));
  let slots = 0;
  let prefillRate = 0;
  let tokenTime = Number.POSITIVE_INFINITY;
  let largestMemoryTokens = 0;
  usable.forEach((server) => {
    slots += prospectiveStreams(state, server);
    prefillRate += 1 / Math.max(SMALLEST_TIME, server.speed.prefillTime(1));
    tokenTime = Math.min(tokenTime, server.speed.tokenTime(1));
  });
  state.servers.forEach((server) => {
    if (!server.settings.drained && !server.leaving) {
      largestMemoryTokens = Math.max(largestMemoryTokens, server.memoryTokens);
    }
  });
  const fastest = usable
    .sort((left, right) => typicalTime(left) - typicalTime(right))
    .slice(0, FASTEST_KEPT);
  return {
    fastest,
    slots,
    prefillRate,
    largestMemoryTokens,
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
