import { createPriorityQueue } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { EngineHardware, EngineState, Warmth } from './types';

/** An engine with nothing in hand at `now`. */
export default function createEngineState(
  hardware: EngineHardware,
  warmth: Warmth,
  now: Milliseconds,
): EngineState {
  return {
    hardware,
    warmth,
    waiting: [],
    prefilling: [],
    decoding: createPriorityQueue((left, right) => left.end - right.end),
    decodingCount: 0,
    iteration: 0,
    memoryUsed: 0,
    settledAt: now,
    iterationMilliseconds: 0,
    slowDownFactor: 1,
    admissions: 0,
  };
}
