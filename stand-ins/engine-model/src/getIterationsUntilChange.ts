import type { EngineState } from './types';

/** Longest plan of an engine that is still warming up. */
const WARMING_PLAN_MILLISECONDS = 250;

/** Iterations until the batch changes: a prefill or a stream ends, memory is full, or warmth has grown. */
export default function getIterationsUntilChange(state: EngineState, everyToken: boolean): number {
  let iterations = Number.POSITIVE_INFINITY;
  const firstPrefill = state.prefilling[0];
  if (firstPrefill !== undefined) {
    iterations = firstPrefill.prefillLeft / state.hardware.prefillTokensPerIteration;
  }
  const firstEnd = state.decoding.peek();
  if (firstEnd !== undefined) {
    iterations = Math.min(iterations, firstEnd.end - state.iteration);
  }
  if (state.decodingCount > 0) {
    const room = state.hardware.memoryTokens - state.memoryUsed;
    iterations = Math.min(iterations, room / state.decodingCount);
  }
  if (everyToken && state.decodingCount > 0) {
    iterations = Math.min(iterations, 1);
  }
  if (!state.warmth.isWarm()) {
    iterations = Math.min(iterations, WARMING_PLAN_MILLISECONDS / state.iterationMilliseconds);
  }
  return Math.max(0, iterations);
}
