import type { MovingAverage } from './types';

interface MovingAverageOptions {
  readonly initial: number;
  /** Weight of each new value, in (0, 1]. */
  readonly weight: number;
}

/** Creates an exponential moving average. */
export default function createMovingAverage({
  initial,
  weight,
}: MovingAverageOptions): MovingAverage {
  let average = initial;
  return {
    add(value) {
      average += weight * (value - average);
    },
    get: () => average,
  };
}
