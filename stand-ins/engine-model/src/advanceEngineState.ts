import type { Milliseconds } from '@rattanreel/core';
import type { EngineState } from './types';

/** Advances the state to `now` at the iteration time computed at the last update. */
export default function advanceEngineState(state: EngineState, now: Milliseconds): void {
  const elapsed = now - state.advancedAt;
  state.advancedAt = now;
  if (elapsed <= 0 || state.iterationMilliseconds === 0) {
    return;
  }
  const iterations = elapsed / state.iterationMilliseconds;
  state.iteration += iterations;
  state.memoryUsed += iterations * state.decodingCount;
  state.warmUp.advance(elapsed);
  prefill(state, iterations * state.hardware.prefillTokensPerIteration);
}

function prefill(state: EngineState, tokens: number): void {
  let remaining = tokens;
  for (const stream of state.prefilling) {
    const prefilled = Math.min(remaining, stream.remainingPrefillTokens);
    stream.remainingPrefillTokens -= prefilled;
    stream.audit.prefilledTokens += prefilled;
    remaining -= prefilled;
    if (remaining <= 0) {
      return;
    }
  }
}
