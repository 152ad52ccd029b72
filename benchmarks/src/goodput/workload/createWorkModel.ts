import { createRandom } from '@rattanreel/core';
import { getHardware } from '@rattanreel/stand-in-engine-model';
import type { HardwareGeneration } from '@rattanreel/stand-in-engine-model';
import getMinimumWork from '../results/getMinimumWork';
import type { BatchAttribution } from '../results/types';
import drawRequestSize from './drawRequestSize';
import type { RequestSize, WorkModel } from './types';

const GENERATIONS: readonly HardwareGeneration[] = ['first', 'second', 'third', 'fourth', 'fifth'];
const REFERENCE_GENERATION: HardwareGeneration = 'third';
const SAMPLE_SIZE = 1_000;
const SAMPLE_SEED = 1;
const ATTRIBUTION_STEPS = 10;

interface PricedWorkModel extends WorkModel {
  /**
   * Upper bound of the requests of the mix that one engine of each generation answer together in a
   * millisecond.
   */
  readonly rate: number;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function listAttributions(): BatchAttribution[] {
  const steps = Array.from({ length: ATTRIBUTION_STEPS + 1 }, (_, step) => step);
  return steps.flatMap((streams) =>
    steps.slice(0, ATTRIBUTION_STEPS + 1 - streams).map((memory) => ({
      byStreams: streams / ATTRIBUTION_STEPS,
      byMemory: memory / ATTRIBUTION_STEPS,
      byPrefill: (ATTRIBUTION_STEPS - streams - memory) / ATTRIBUTION_STEPS,
    })),
  );
}

function createCostFunction(
  generation: HardwareGeneration,
  attribution: BatchAttribution,
): (size: RequestSize) => number {
  const hardware = getHardware(generation);
  return (size) => {
    const prefillTokens = size.promptTokens - size.sharedTokens;
    return getMinimumWork(hardware, { ...size, prefillTokens }, attribution);
  };
}

/** Computes prices under which the sample costs the same on each generation. */
function createPricedWorkModel(
  attribution: BatchAttribution,
  sample: readonly RequestSize[],
): PricedWorkModel {
  const reference = sum(sample.map(createCostFunction(REFERENCE_GENERATION, attribution)));
  const priced = GENERATIONS.map((generation) => {
    const getCost = createCostFunction(generation, attribution);
    return { generation, getCost, speed: reference / sum(sample.map(getCost)) };
  });
  const speeds = new Map(priced.map(({ generation, speed }) => [generation, speed]));
  const getWork = (size: RequestSize): number =>
    Math.min(...priced.map(({ getCost, speed }) => getCost(size) * speed));
  const meanWork = sum(sample.map(getWork)) / sample.length;
  return {
    getWork,
    getSpeed: (generation) => speeds.get(generation)!,
    meanWork,
    rate: sum([...speeds.values()]) / meanWork,
  };
}

/**
 * Creates a work model in which no engine does more work in a millisecond than its speed: the work
 * of a request is its lowest cost over all generations, each cost multiplied by that generation's
 * speed. Of the possible attributions it uses the one that gives the tightest bound of the request
 * rate.
 */
export default function createWorkModel(): WorkModel {
  const random = createRandom(SAMPLE_SEED);
  const sample = Array.from({ length: SAMPLE_SIZE }, () => drawRequestSize(random));
  return listAttributions()
    .map((attribution) => createPricedWorkModel(attribution, sample))
    .reduce((best, prices) => (prices.rate < best.rate ? prices : best));
}
