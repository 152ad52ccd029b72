import type { Milliseconds } from '@rattanreel/core';
import type { EngineHardware } from '@rattanreel/stand-in-engine-model';
import type { BatchAttribution } from './types';

interface RequestSize {
  /** Prompt tokens that cannot come from a cache. */
  readonly prefillTokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/**
 * Returns the minimum time in milliseconds that an engine of this hardware needs for a request,
 * however it is batched. An iteration generates at most one token per stream, holds at most the
 * memory's tokens and prefills at most one chunk. Each limit gives a lower bound of the iterations
 * needed, and so does any weighted mean of the three.
 */
export default function getMinimumWork(
  hardware: EngineHardware,
  { prefillTokens, promptTokens, outputTokens }: RequestSize,
  attribution: BatchAttribution,
): Milliseconds {
  const decodedTokens = outputTokens - 1;
  const heldTokens = decodedTokens * (promptTokens + decodedTokens / 2);
  const iterations =
    (attribution.byStreams * decodedTokens) / hardware.maximumStreams +
    (attribution.byMemory * heldTokens) / hardware.memoryTokens +
    (attribution.byPrefill * prefillTokens) / hardware.prefillTokensPerIteration;
  return (
    iterations * hardware.iterationMilliseconds +
    decodedTokens * hardware.decodeMillisecondsPerStream +
    heldTokens * hardware.contextMillisecondsPerToken +
    prefillTokens * hardware.prefillMillisecondsPerToken
  );
}
