import type { WorkEstimates } from './types';

const WEIGHT = 0.05;
const ROUTES_KEPT = 512;
const FIRST_OUTPUT_RATIO = 0.5;
const FIRST_TOKENS = 512;
const FIRST_PROMPT_SHARE = 0.5;
const DEVIATIONS_ADDED = 0.5;

interface OutputRatio {
  mean: number;
  deviation: number;
}

/** Learns how much of the allowed length answers use, by route, and how long slots are held. */
export default function createWorkEstimates(): WorkEstimates {
  const ratios = new Map<string, OutputRatio>();
  let meanHolding: number | undefined;
  let meanCost = FIRST_TOKENS;
  let meanReserved = FIRST_TOKENS;
  let meanPrompt = FIRST_TOKENS * FIRST_PROMPT_SHARE;

  function ratioOf(route: string): OutputRatio {
    let ratio = ratios.get(route);
    if (ratio === undefined) {
      if (ratios.size >= ROUTES_KEPT) {
        ratios.delete(ratios.keys().next().value!);
      }
      ratio = { mean: FIRST_OUTPUT_RATIO, deviation: 0 };
      ratios.set(route, ratio);
    }
    return ratio;
  }

  return {
    get meanHolding() {
      return meanHolding;
    },
    get meanCost() {
      return meanCost;
    },
    get meanReserved() {
      return meanReserved;
    },
    get promptShare() {
      return Math.min(1, meanPrompt / meanCost);
    },
    reservedTokens: (asked) => asked.promptTokens + asked.maximumOutputTokens,
    expectedOutputTokens(route, maximumOutputTokens) {
      const { mean, deviation } = ratioOf(route);
      const ratio = Math.min(1, mean + DEVIATIONS_ADDED * deviation);
      return Math.max(1, Math.ceil(ratio * maximumOutputTokens));
    },
    learnOutput(route, maximumOutputTokens, outputTokens) {
      const ratio = ratioOf(route);
      const sample = Math.min(1, outputTokens / Math.max(1, maximumOutputTokens));
      ratio.deviation += WEIGHT * (Math.abs(sample - ratio.mean) - ratio.deviation);
      ratio.mean += WEIGHT * (sample - ratio.mean);
    },
    learnHolding(slot, outputTokens, held) {
      meanCost += WEIGHT * (slot.promptTokens + outputTokens - meanCost);
      meanPrompt += WEIGHT * (slot.promptTokens - meanPrompt);
      meanReserved += WEIGHT * (slot.reservedTokens - meanReserved);
      meanHolding = meanHolding === undefined ? held : meanHolding + WEIGHT * (held - meanHolding);
    },
  };
}
