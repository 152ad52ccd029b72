import type { WorkEstimates } from './types';

const WEIGHT = 0.05;
const ROUTES_KEPT = 512;
const FIRST_OUTPUT_RATIO = 0.5;
const FIRST_COST_TOKENS = 512;
const DEVIATIONS_ADDED = 0.5;

interface OutputRatio {
  mean: number;
  deviation: number;
}

/** Learns how much of the allowed length answers use, by route, and how long slots are held. */
export default function createWorkEstimates(): WorkEstimates {
  const ratios = new Map<string, OutputRatio>();
  let meanHolding: number | undefined;
  let meanCost = FIRST_COST_TOKENS;

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
    learnHolding(cost, held) {
      meanCost += WEIGHT * (cost - meanCost);
      meanHolding = meanHolding === undefined ? held : meanHolding + WEIGHT * (held - meanHolding);
    },
  };
}
