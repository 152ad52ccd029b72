import type { WorkEstimates } from './types';

const SAMPLE_WEIGHT = 0.05;
const MAXIMUM_ROUTES = 512;
const INITIAL_OUTPUT_RATIO = 0.5;
const INITIAL_COST_TOKENS = 512;
const INITIAL_PROMPT_SHARE = 0.5;
const DEVIATION_FACTOR = 0.5;

interface OutputRatio {
  mean: number;
  deviation: number;
}

/**
 * Estimates, by exponential moving averages, how much of the allowed length answers use on each
 * route and how long slots are occupied.
 */
export default function createWorkEstimates(): WorkEstimates {
  const ratios = new Map<string, OutputRatio>();
  let meanHoldingTime: number | undefined;
  let meanCostTokens = INITIAL_COST_TOKENS;
  let meanReservedTokens = INITIAL_COST_TOKENS;
  let meanPromptTokens = INITIAL_COST_TOKENS * INITIAL_PROMPT_SHARE;

  function getOrCreateRatio(route: string): OutputRatio {
    let ratio = ratios.get(route);
    if (ratio === undefined) {
      if (ratios.size >= MAXIMUM_ROUTES) {
        ratios.delete(ratios.keys().next().value!);
      }
      ratio = { mean: INITIAL_OUTPUT_RATIO, deviation: 0 };
      ratios.set(route, ratio);
    }
    return ratio;
  }

  return {
    get meanHoldingTime() {
      return meanHoldingTime;
    },
    get meanCostTokens() {
      return meanCostTokens;
    },
    get meanReservedTokens() {
      return meanReservedTokens;
    },
    get promptShare() {
      return Math.min(1, meanPromptTokens / meanCostTokens);
    },
    getReservedTokens: (grantRequest) =>
      grantRequest.promptTokens + grantRequest.maximumOutputTokens,
    estimateOutputTokens(route, maximumOutputTokens) {
      const { mean, deviation } = getOrCreateRatio(route);
      const ratio = Math.min(1, mean + DEVIATION_FACTOR * deviation);
      return Math.max(1, Math.ceil(ratio * maximumOutputTokens));
    },
    addOutputSample(route, maximumOutputTokens, outputTokens) {
      const ratio = getOrCreateRatio(route);
      const sample = Math.min(1, outputTokens / Math.max(1, maximumOutputTokens));
      ratio.deviation += SAMPLE_WEIGHT * (Math.abs(sample - ratio.mean) - ratio.deviation);
      ratio.mean += SAMPLE_WEIGHT * (sample - ratio.mean);
    },
    addHoldingSample(slot, outputTokens, duration) {
      meanCostTokens += SAMPLE_WEIGHT * (slot.promptTokens + outputTokens - meanCostTokens);
      meanPromptTokens += SAMPLE_WEIGHT * (slot.promptTokens - meanPromptTokens);
      meanReservedTokens += SAMPLE_WEIGHT * (slot.reservedTokens - meanReservedTokens);
      meanHoldingTime =
        meanHoldingTime === undefined
          ? duration
          : meanHoldingTime + SAMPLE_WEIGHT * (duration - meanHoldingTime);
    },
  };
}
