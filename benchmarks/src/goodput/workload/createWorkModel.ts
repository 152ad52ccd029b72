import { createRandom } from '@rattanreel/core';
import { getHardware } from '@rattanreel/stand-in-engine-model';
import type { HardwareGeneration } from '@rattanreel/stand-in-engine-model';
import getLeastWork from '../results/getLeastWork';
import drawRequestSize from './drawRequestSize';
import type { RequestSize, WorkModel } from './types';

const GENERATIONS: readonly HardwareGeneration[] = ['first', 'second', 'third', 'fourth', 'fifth'];
const REFERENCE: HardwareGeneration = 'third';
const SAMPLE_SIZE = 4_000;
const SAMPLE_SEED = 1;
const ATTRIBUTION_STEPS = 10;

interface GenerationCosts {
  readonly generation: HardwareGeneration;
  readonly meanCost: number;
  costOf(size: RequestSize): number;
}

function mean(sizes: readonly RequestSize[], costOf: (size: RequestSize) => number): number {
  return sizes.reduce((sum, size) => sum + costOf(size), 0) / sizes.length;
}

/** Costs of one generation under the attribution that bounds them most tightly. */
function createCosts(
  generation: HardwareGeneration,
  sample: readonly RequestSize[],
): GenerationCosts {
  const hardware = getHardware(generation);
  let best: GenerationCosts | undefined;
  for (let step = 0; step <= ATTRIBUTION_STEPS; step += 1) {
    const attribution = { byStreams: step / ATTRIBUTION_STEPS };
    const costOf = (size: RequestSize) =>
      getLeastWork(
        hardware,
        { ...size, prefillTokens: size.promptTokens - size.sharedTokens },
        attribution,
      );
    const meanCost = mean(sample, costOf);
    if (best === undefined || meanCost > best.meanCost) {
      best = { generation, meanCost, costOf };
    }
  }
  return best!;
}

/**
 * Prices an engine's time so that no engine does more work in a millisecond than its speed says: the work of a
 * request is its lowest cost over all generations, each cost multiplied by that generation's speed.
 */
export default function createWorkModel(): WorkModel {
  const random = createRandom(SAMPLE_SEED);
  const sample = Array.from({ length: SAMPLE_SIZE }, () => drawRequestSize(random));
  const costs = GENERATIONS.map((generation) => createCosts(generation, sample));
  const reference = costs.find(({ generation }) => generation === REFERENCE)!;
  const speeds = new Map(
    costs.map(({ generation, meanCost }) => [generation, reference.meanCost / meanCost]),
  );
  const workOf = (size: RequestSize): number =>
    Math.min(...costs.map((cost) => cost.costOf(size) * speeds.get(cost.generation)!));
  return {
    workOf,
    speedOf: (generation) => speeds.get(generation)!,
    meanWork: mean(sample, workOf),
  };
}
