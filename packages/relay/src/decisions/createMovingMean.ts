import type { MovingMean } from './types';

interface MovingMeanOptions {
  readonly initial: number;
  /** Weight of each new value, in (0, 1]. */
  readonly weight: number;
}

/** An exponentially weighted mean. */
export default function createMovingMean({ initial, weight }: MovingMeanOptions): MovingMean {
  let mean = initial;
  return {
    add(value) {
      mean += weight * (value - mean);
    },
    get: () => mean,
  };
}
