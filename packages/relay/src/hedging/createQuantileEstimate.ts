/** Values from whose order the first estimate is taken. */
const MINIMUM_VALUES = 30;
/** Relative change of the estimate by one value above it. */
const STEP = 0.05;

interface QuantileEstimate {
  add(value: number): void;
  /** Returns the estimate; undefined while too few values are known. */
  tryGet(): number | undefined;
}

/**
 * Estimates a quantile of recent values in constant memory: a value above the estimate raises it, and
 * one below lowers it, in the ratio in which they occur at the quantile. It follows a change of
 * the values within some tens of them.
 */
export default function createQuantileEstimate(quantile: number): QuantileEstimate {
  const firstValues: number[] = [];
  let estimate: number | undefined;

  return {
    add(value) {
      if (estimate !== undefined) {
        estimate *= value > estimate ? 1 + STEP * quantile : 1 - STEP * (1 - quantile);
        return;
      }
      firstValues.push(value);
      if (firstValues.length === MINIMUM_VALUES) {
        firstValues.sort((left, right) => left - right);
        estimate = firstValues[Math.floor(quantile * (MINIMUM_VALUES - 1))];
      }
    },
    tryGet: () => estimate,
  };
}
