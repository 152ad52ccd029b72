const DECAY_FACTOR = 127 / 128;

/** Which of the two versions the last requests went to. */
interface AllocationEstimator {
  countRequest(isNew: boolean): void;
  /** Estimate of the new version's part, from earlier requests; rather too high than too low. */
  newPart(): number;
}

/** Keeps a decaying count of both versions' requests. */
export default function createAllocationEstimator(): AllocationEstimator {
  let newWeight = 0;
  let oldWeight = 0;

  return {
    countRequest(isNew) {
      newWeight = newWeight * DECAY_FACTOR + (isNew ? 1 : 0);
      oldWeight = oldWeight * DECAY_FACTOR + (isNew ? 0 : 1);
    },
    // One request is added: the mean of (n + 1) / (X + 1) is at most 1 / p for a binomial X.
    newPart: () => (newWeight + 1) / (newWeight + oldWeight + 1),
  };
}
