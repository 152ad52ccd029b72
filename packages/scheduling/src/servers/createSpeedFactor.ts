/** A factor on expected times that tracks the measured ones. */
interface SpeedFactor {
  readonly value: number;
  /** The best recent factor: the lowest. */
  readonly best: number;
  readonly sampleCount: number;
  /** Adds a sample: a measured time divided by the expected time without the factor. */
  add(ratio: number): void;
  /** Makes the next sample replace the factor and its best value. */
  restart(): void;
}

const SAMPLE_WEIGHT = 0.3;
const BEST_SAMPLE_WEIGHT = 0.1;
const BEST_DRIFT_PER_SAMPLE = 0.005;
const MINIMUM_RATIO = 1e-3;

/** Creates a factor of 1 that the first sample replaces. */
export default function createSpeedFactor(): SpeedFactor {
  let meanLogarithm = 0;
  let slowMeanLogarithm = 0;
  let bestLogarithm = 0;
  let factor = 1;
  let sampleCount = 0;

  return {
    get value() {
      return factor;
    },
    get best() {
      return Math.exp(bestLogarithm);
    },
    get sampleCount() {
      return sampleCount;
    },
    add(ratio) {
      sampleCount += 1;
      const sample = Math.log(Math.max(MINIMUM_RATIO, ratio));
      meanLogarithm += Math.max(SAMPLE_WEIGHT, 1 / sampleCount) * (sample - meanLogarithm);
      factor = Math.exp(meanLogarithm);
      slowMeanLogarithm +=
        Math.max(BEST_SAMPLE_WEIGHT, 1 / sampleCount) * (sample - slowMeanLogarithm);
      bestLogarithm =
        sampleCount === 1
          ? slowMeanLogarithm
          : Math.min(bestLogarithm + BEST_DRIFT_PER_SAMPLE, slowMeanLogarithm);
    },
    restart() {
      sampleCount = 0;
    },
  };
}
