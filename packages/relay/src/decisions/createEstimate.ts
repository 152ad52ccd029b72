import type { Milliseconds } from '@rattanreel/core';
import type { Estimate } from './types';

/** Age of the newest sample from which on an estimate says little about the present. */
const FRESH_TIME: Milliseconds = 2_000;
/** Time in which what a stale estimate has learnt loses half of its weight against the prior. */
const HALF_LIFE: Milliseconds = 2_000;

interface EstimateOptions {
  /** What is expected without samples. */
  readonly prior: number;
  /** Weight of each new sample, in (0, 1]. */
  readonly weight: number;
}

/**
 * Creates a moving average that knows how many samples it has and how old they are. Load pattern: an
 * average refuses all work, so no response moves it, long after its reason has passed (metastable
 * failure).
 */
export default function createEstimate({ prior, weight }: EstimateOptions): Estimate {
  let average = prior;
  let samples = 0;
  let newestAt: Milliseconds | undefined;
  /** Samples that the average counts for since it was doubted; undefined while it is not. */
  let countSinceDoubt: number | undefined;

  function getAge(now: Milliseconds): Milliseconds {
    return newestAt === undefined ? Infinity : Math.max(now - newestAt, 0);
  }

  function getWeight(): number {
    if (countSinceDoubt === undefined) {
      return weight;
    }
    countSinceDoubt += 1;
    const share = 1 / countSinceDoubt;
    countSinceDoubt = share > weight ? countSinceDoubt : undefined;
    return Math.max(share, weight);
  }

  return {
    add(value, now) {
      average += getWeight() * (value - average);
      samples += 1;
      newestAt = now;
    },
    get: () => average,
    getDecayed(now) {
      const staleFor = Math.max(getAge(now) - FRESH_TIME, 0);
      return prior + (average - prior) * 2 ** (-staleFor / HALF_LIFE);
    },
    isFresh: (now) => getAge(now) <= FRESH_TIME,
    doubt() {
      countSinceDoubt = 1;
    },
    getFigures: (now) => ({
      expected: Math.round(average),
      samples,
      ...(newestAt !== undefined && { age: Math.round(getAge(now)) }),
    }),
  };
}
