import type { EngineHardware, HardwareGeneration } from './types';

/** Speed of each generation relative to the third. */
const RELATIVE_SPEEDS: Readonly<Record<HardwareGeneration, number>> = {
  first: 0.45,
  second: 0.7,
  third: 1,
  fourth: 1.5,
  fifth: 2.2,
};

/** Memory capacity of each generation, in tokens. */
const MEMORY_TOKENS: Readonly<Record<HardwareGeneration, number>> = {
  first: 48_000,
  second: 64_000,
  third: 96_000,
  fourth: 128_000,
  fifth: 192_000,
};

const MAXIMUM_STREAMS: Readonly<Record<HardwareGeneration, number>> = {
  first: 32,
  second: 48,
  third: 64,
  fourth: 96,
  fifth: 128,
};

/** Size of the prefix cache as a share of the memory, in addition to it. */
const PREFIX_CACHE_SHARE = 0.25;

/** Returns the costs and the capacity of a hardware generation. */
export default function getHardware(generation: HardwareGeneration): EngineHardware {
  const speed = RELATIVE_SPEEDS[generation];
  const memoryTokens = MEMORY_TOKENS[generation];
  return {
    iterationMilliseconds: 14 / speed,
    decodeMillisecondsPerStream: 0.2 / speed,
    contextMillisecondsPerToken: 0.000_03 / speed,
    prefillMillisecondsPerToken: 0.06 / speed,
    prefillTokensPerIteration: 512,
    memoryTokens,
    maximumStreams: MAXIMUM_STREAMS[generation],
    prefixCacheTokens: memoryTokens * PREFIX_CACHE_SHARE,
  };
}
