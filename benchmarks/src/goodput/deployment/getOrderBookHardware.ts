import type { EngineHardware } from '@rattanreel/stand-in-engine-model';

/**
 * Returns the hardware of an order book, modelled as an engine whose calls have one prompt token
 * and one output token.
 */
export default function getOrderBookHardware(): EngineHardware {
  return {
    iterationMilliseconds: 10,
    decodeMillisecondsPerStream: 0.2,
    contextMillisecondsPerToken: 0,
    prefillMillisecondsPerToken: 1,
    prefillTokensPerIteration: 16,
    memoryTokens: 64,
    maximumStreams: 32,
    prefixCacheTokens: 0,
  };
}
