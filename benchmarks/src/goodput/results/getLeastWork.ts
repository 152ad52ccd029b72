import type { Milliseconds } from '@rattanreel/core';
import type { EngineHardware } from '@rattanreel/stand-in-engine-model';

interface RequestSize {
  /** Prompt tokens that no cache can hold. */
  readonly prefillTokens: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Where between the two bounds on the batch the cost of an iteration is attributed. */
interface BatchAttribution {
  /** Share attributed by streams; the rest is attributed by tokens in memory. */
  readonly byStreams: number;
}

/**
 * Least time that an engine of this hardware needs for a request, however it is batched. Each iteration costs its
 * fixed part at least `streams / maximumStreams` and `tokens / memoryTokens` times, so any mean of the two is a bound.
 */
export default function getLeastWork(
  hardware: EngineHardware,
  { prefillTokens, promptTokens, outputTokens }: RequestSize,
  { byStreams }: BatchAttribution,
): Milliseconds {
  const iterations = outputTokens - 1;
  const tokenIterations = iterations * (promptTokens + iterations / 2);
  const prefillIterations = prefillTokens / hardware.prefillTokensPerIteration;
  const fixed =
    hardware.iterationMilliseconds *
    ((byStreams * iterations) / hardware.maximumStreams +
      ((1 - byStreams) * tokenIterations) / hardware.memoryTokens);
  return (
    fixed +
    iterations * hardware.decodeMillisecondsPerStream +
    tokenIterations * hardware.contextMillisecondsPerToken +
    prefillIterations * hardware.prefillTokensPerIteration * hardware.prefillMillisecondsPerToken
  );
}
