import { createPriorityQueue } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { EngineHardware, EngineState, WarmUpModel } from './types';

/** Creates the state of an idle engine at `now`. */
export default function createEngineState(
  hardware: EngineHardware,
  warmUp: WarmUpModel,
  now: Milliseconds,
): EngineState {
  return {
    hardware,
    warmUp,
    waiting: [],
    prefilling: [],
    decoding: createPriorityQueue((left, right) => left.endIteration - right.endIteration),
    decodingCount: 0,
    iteration: 0,
    memoryUsed: 0,
    advancedAt: now,
    iterationMilliseconds: 0,
    slowDownFactor: 1,
    admissionCount: 0,
  };
}
