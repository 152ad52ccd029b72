import type { BenchmarkArguments } from '../types';
import measureDecisions from './measureDecisions';
import measureQueuedRequestBytes from './measureQueuedRequestBytes';
import type { DecisionFigure, DecisionGrowth, DecisionResult } from './types';

const QUEUE_SIZES = [1, 10, 100, 1_000, 10_000];
const POOL_SIZES = [4, 40, 400];
const TARGET_RATIO = 3;

function getCost(figures: readonly DecisionFigure[], queued: number): number {
  return figures.find((figure) => figure.queued === queued)?.microsecondsPerGrant ?? Number.NaN;
}

/** Computes the least-squares slope of the logarithm of the cost over that of the queue length. */
function computeSlope(figures: readonly DecisionFigure[]): number {
  const points = figures.map((figure) => ({
    x: Math.log(figure.queued),
    y: Math.log(figure.microsecondsPerGrant),
  }));
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length;
  const products = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const squares = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  return products / squares;
}

function computeGrowth(engines: number, all: readonly DecisionFigure[]): DecisionGrowth {
  const figures = all.filter((figure) => figure.engines === engines);
  return {
    engines,
    slope: computeSlope(figures),
    ratioOf10000To100: getCost(figures, 10_000) / getCost(figures, 100),
  };
}

/** Measures the cost of one decision as the queue and the pool grow. */
export default async function run(options: BenchmarkArguments): Promise<DecisionResult> {
  const { seed } = options;
  const poolSizes = options.quick ? POOL_SIZES.slice(0, 1) : POOL_SIZES;
  measureDecisions({ engines: 4, queued: 1_000, seed });
  const figures = poolSizes.flatMap((engines) =>
    QUEUE_SIZES.map((queued) => measureDecisions({ engines, queued, seed })),
  );
  const growth = poolSizes.map((engines) => computeGrowth(engines, figures));
  return {
    benchmark: 'decisions',
    seed,
    figures,
    growth,
    bytesPerQueuedRequest: measureQueuedRequestBytes(seed),
    targetRatio: TARGET_RATIO,
    meetsTarget: growth.every(({ ratioOf10000To100 }) => ratioOf10000To100 <= TARGET_RATIO),
  };
}
