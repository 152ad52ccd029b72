const SAMPLE_CAPACITY = 128;
const MINIMUM_SAMPLES = 24;
const QUANTILE = 0.9;

/** Holds the old version's last normalised times. */
interface ReferenceTimes {
  add(value: number): void;
  /** Returns the 90th percentile; undefined while there are fewer than MINIMUM_SAMPLES times. */
  tryGetUpperQuantile(): number | undefined;
}

/** Creates a ring buffer of times, for comparison after the old version's traffic has ended. */
export default function createReferenceTimes(): ReferenceTimes {
  const ring: number[] = [];
  let next = 0;
  let quantile: number | undefined;

  return {
    add(value) {
      ring[next] = value;
      next = (next + 1) % SAMPLE_CAPACITY;
      quantile = undefined;
    },
    tryGetUpperQuantile() {
      if (ring.length < MINIMUM_SAMPLES) {
        return undefined;
      }
      quantile ??= [...ring].sort((left, right) => left - right)[
        Math.floor(ring.length * QUANTILE)
      ];
      return quantile;
    },
  };
}
