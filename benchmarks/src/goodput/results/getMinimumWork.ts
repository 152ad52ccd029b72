import type { Milliseconds } from '@rattanreel/core';
import type { EngineHardware } from '@rattanreel/stand-in-engine-model';
import type { BatchAttribution } from './types';

interface RequestSize {
  /** Prompt tokens that no cache can hold. */
  readonly prefillTokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/**
 * Least time that an engine of this hardware needs for a request, however it is batched. An iteration generates at
 * most one token a stream, holds at most its memory and prefills at most its chunk, so requests need at least as
 * many iterations as each of the three says, and so at least any weighted mean of them.
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
