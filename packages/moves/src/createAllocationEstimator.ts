const DECAY_FACTOR = 127 / 128;

/** Estimates the new version's share of recent requests. */
interface AllocationEstimator {
  countRequest(isNew: boolean): void;
  /** Returns the estimated share of the new version from earlier requests; errs on the high side. */
  newPart(): number;
}

/** Creates an estimator with exponentially decaying request counts of both versions. */
export default function createAllocationEstimator(): AllocationEstimator {
  let newWeight = 0;
  let oldWeight = 0;

  return {
    countRequest(isNew) {
      newWeight = newWeight * DECAY_FACTOR + (isNew ? 1 : 0);
      oldWeight = oldWeight * DECAY_FACTOR + (isNew ? 0 : 1);
    },
    // Adds one request of the new version: for a binomial X, the mean of (n + 1) / (X + 1) is at most 1 / p.
    newPart: () => (newWeight + 1) / (newWeight + oldWeight + 1),
  };
}
