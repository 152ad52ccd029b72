import type { Milliseconds } from '@rattanreel/core';
import countAdmittedStreams from './countAdmittedStreams';
import type { EngineState } from './types';

/** Returns the duration of one iteration with the current batch; 0 if the batch is empty. */
export default function getIterationMilliseconds(state: EngineState): Milliseconds {
  const streams = countAdmittedStreams(state);
  if (streams === 0) {
    return 0;
  }
  const { hardware } = state;
  const prefilled = state.prefilling.length > 0 ? hardware.prefillTokensPerIteration : 0;
  const warmCost =
    hardware.iterationMilliseconds +
    hardware.decodeMillisecondsPerStream * state.decodingCount +
    hardware.contextMillisecondsPerToken * state.memoryUsed +
    hardware.prefillMillisecondsPerToken * prefilled;
  const streamsAndWaiting = streams + state.waiting.length;
  return (warmCost * state.slowDownFactor) / state.warmUp.getSpeedShare(streamsAndWaiting);
}
