import type { EngineState } from './types';

/** Maximum time between updates of an engine that is still warming up. */
const MAXIMUM_WARM_UP_STEP_MILLISECONDS = 250;

/**
 * Returns the iterations until the next update: a prefill or a stream ends, memory is full, a
 * token is to be reported, or the warm-up has progressed.
 */
export default function getIterationsUntilChange(
  state: EngineState,
  notifyEveryToken: boolean,
): number {
  let iterations = Number.POSITIVE_INFINITY;
  const firstPrefill = state.prefilling[0];
  if (firstPrefill !== undefined) {
    iterations = firstPrefill.remainingPrefillTokens / state.hardware.prefillTokensPerIteration;
  }
  const firstEnd = state.decoding.peek();
  if (firstEnd !== undefined) {
    iterations = Math.min(iterations, firstEnd.endIteration - state.iteration);
  }
  if (state.decodingCount > 0) {
    const freeTokens = state.hardware.memoryTokens - state.memoryUsed;
    iterations = Math.min(iterations, freeTokens / state.decodingCount);
  }
  if (notifyEveryToken && state.decodingCount > 0) {
    iterations = Math.min(iterations, 1);
  }
  if (!state.warmUp.isWarm()) {
    iterations = Math.min(
      iterations,
      MAXIMUM_WARM_UP_STEP_MILLISECONDS / state.iterationMilliseconds,
    );
  }
  return Math.max(0, iterations);
}
