import type { MovingAverage } from './types';

interface MovingAverageOptions {
  readonly initial: number;
  /** Weight of each new value, in (0, 1]. */
  readonly weight: number;
  /**
   * Whether the first values replace the initial one, which is an assumption: until the weight of an
   * equal share of all values falls below `weight`, the average is their mean.
   */
  readonly isInitialAssumed?: boolean;
}

/** Creates an exponential moving average. */
export default function createMovingAverage({
  initial,
  weight,
  isInitialAssumed = false,
}: MovingAverageOptions): MovingAverage {
  let average = initial;
  let count = 0;
  return {
    add(value) {
      count += 1;
      const effective = isInitialAssumed ? Math.max(weight, 1 / count) : weight;
      average += effective * (value - average);
    },
    get: () => average,
  };
}
