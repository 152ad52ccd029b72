import type { EngineHardware, HardwareGeneration } from './types';

/** Speed of each generation beside the third one. */
const RELATIVE_SPEEDS: Readonly<Record<HardwareGeneration, number>> = {
  first: 0.45,
  second: 0.7,
  third: 1,
  fourth: 1.5,
  fifth: 2.2,
};

/** Room for tokens of each generation. */
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

/** Share of the memory that is added for the prefix cache. */
const PREFIX_CACHE_SHARE = 0.25;

/** Costs and room of a generation of hardware. */
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
