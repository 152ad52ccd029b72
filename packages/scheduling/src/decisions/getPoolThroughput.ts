import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from '../servers/types';
import isUsable from './isUsable';
import type { PoolThroughput, SchedulerState } from './types';

const CACHE_TTL_MILLISECONDS = 250;
const SLOW_START_GROWTH_FACTOR = 8;
const MAXIMUM_FASTEST_SERVERS = 16;
const TYPICAL_TOKENS = 256;
const MINIMUM_TIME_MILLISECONDS = 1e-6;

/**
 * Estimates the streams that a backend server can soon run, limited by its stream limit and its
 * memory.
 */
function estimateUsableStreams(state: SchedulerState, server: BackendServer): number {
  const { current, isSlowStart } = server.streamLimit;
  const bound = isSlowStart
    ? Math.min(server.settings.maximumStreams, current * SLOW_START_GROWTH_FACTOR)
    : current;
  return Math.min(bound, server.memoryTokens / state.workEstimates.meanReservedTokens);
}

/** Estimates the time that a typical request takes at an idle backend server. */
function estimateTypicalTime(server: BackendServer): Milliseconds {
  const { speed } = server;
  return speed.predictFirstTokenAfter(TYPICAL_TOKENS) + TYPICAL_TOKENS * speed.predictTokenTime(1);
}

function measurePoolThroughput(state: SchedulerState): PoolThroughput {
  const usable = [...state.servers.values()].filter((server) => isUsable(state, server));
  let slots = 0;
  let prefillRate = 0;
  let tokenTime = Number.POSITIVE_INFINITY;
  let largestMemoryTokens = 0;
  usable.forEach((server) => {
    slots += estimateUsableStreams(state, server);
    prefillRate += 1 / Math.max(MINIMUM_TIME_MILLISECONDS, server.speed.predictPrefillTime(1));
    tokenTime = Math.min(tokenTime, server.speed.predictTokenTime(1));
  });
  state.servers.forEach((server) => {
    if (!server.settings.drained && !server.leaving) {
      largestMemoryTokens = Math.max(largestMemoryTokens, server.memoryTokens);
    }
  });
  const fastest = usable
    .sort((left, right) => estimateTypicalTime(left) - estimateTypicalTime(right))
    .slice(0, MAXIMUM_FASTEST_SERVERS);
  return {
    fastest,
    slots,
    prefillRate,
    largestMemoryTokens,
    tokenTime,
  };
}

/** Returns the throughput of the pool, recomputed when the cached value has expired. */
export default function getPoolThroughput(
  state: SchedulerState,
  now: Milliseconds,
): PoolThroughput {
  if (state.poolThroughput === undefined || now - state.poolThroughputAt > CACHE_TTL_MILLISECONDS) {
    state.poolThroughput = measurePoolThroughput(state);
    state.poolThroughputAt = now;
  }
  return state.poolThroughput;
}
