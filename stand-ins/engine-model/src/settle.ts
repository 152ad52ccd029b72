import type { Milliseconds } from '@rattanreel/core';
import type { EngineState } from './types';

/** Brings the state up to `now`, at the pace planned since it was settled last. */
export default function settle(state: EngineState, now: Milliseconds): void {
  const span = now - state.settledAt;
  state.settledAt = now;
  if (span <= 0 || state.iterationMilliseconds === 0) {
    return;
  }
  const iterations = span / state.iterationMilliseconds;
  state.iteration += iterations;
  state.memoryUsed += iterations * state.decodingCount;
  state.warmth.advance(span);
  prefill(state, iterations * state.hardware.prefillTokensPerIteration);
}

function prefill(state: EngineState, tokens: number): void {
  let left = tokens;
  for (const stream of state.prefilling) {
    const taken = Math.min(left, stream.prefillLeft);
    stream.prefillLeft -= taken;
    stream.audit.prefilledTokens += taken;
    left -= taken;
    if (left <= 0) {
      return;
    }
  }
}
