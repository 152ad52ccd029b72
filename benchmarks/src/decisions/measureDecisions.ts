import { performance } from 'node:perf_hooks';
import createLoadedPool from './createLoadedPool';
import type { DecisionFigure } from './types';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const ROUNDS = 9;
const GRANTS_PER_ROUND = 200;

interface MeasureOptions {
  readonly engines: number;
  readonly queued: number;
  readonly seed: number;
}

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)]!;
}

/**
 * Measures a release with its grant, and a request that has to queue, at a constant queue length.
 * The cost of a grant includes the handling of its first token.
 */
export default function measureDecisions(options: MeasureOptions): DecisionFigure {
  const pool = createLoadedPool(options);
  const grantTimes: number[] = [];
  const requestTimes: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    let grants = 0;
    let grantMilliseconds = 0;
    let requestMilliseconds = 0;
    for (let step = 0; step < GRANTS_PER_ROUND; step += 1) {
      const start = performance.now();
      grants += pool.release(round);
      const between = performance.now();
      pool.request(round);
      grantMilliseconds += between - start;
      requestMilliseconds += performance.now() - between;
    }
    grantTimes.push((grantMilliseconds * MICROSECONDS_PER_MILLISECOND) / Math.max(1, grants));
    requestTimes.push((requestMilliseconds * MICROSECONDS_PER_MILLISECOND) / GRANTS_PER_ROUND);
  }
  return {
    engines: options.engines,
    queued: options.queued,
    microsecondsPerGrant: computeMedian(grantTimes),
    microsecondsPerRequest: computeMedian(requestTimes),
  };
}
