/** A factor on expected times that follows the measured ones. */
interface Level {
  readonly factor: number;
  /** The best factor of late. */
  readonly best: number;
  readonly samples: number;
  /** Takes a measured time over the expected one without the factor. */
  add(ratio: number): void;
  /** Lets the next sample count alone, and takes it as the best. */
  restart(): void;
}

const WEIGHT = 0.3;
const BEST_WEIGHT = 0.1;
const BEST_DRIFT = 0.005;
const SMALLEST_RATIO = 1e-3;

/** Creates a level of 1 that the first sample replaces. */
export default function createLevel(): Level {
  let logarithm = 0;
  let slowLogarithm = 0;
  let best = 0;
  let factor = 1;
  let samples = 0;

  return {
    get factor() {
      return factor;
    },
    get best() {
      return Math.exp(best);
    },
    get samples() {
      return samples;
    },
    add(ratio) {
      samples += 1;
      const sample = Math.log(Math.max(SMALLEST_RATIO, ratio));
      logarithm += Math.max(WEIGHT, 1 / samples) * (sample - logarithm);
      factor = Math.exp(logarithm);
      slowLogarithm += Math.max(BEST_WEIGHT, 1 / samples) * (sample - slowLogarithm);
      best = samples === 1 ? slowLogarithm : Math.min(best + BEST_DRIFT, slowLogarithm);
    },
    restart() {
      samples = 0;
    },
  };
}
