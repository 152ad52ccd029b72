import type { SequentialTest } from './types';

/** Stake, out of a total of 1, on a change that is present from the first observation. */
const INITIAL_STAKE = 0.5;
/** Offset of the series that distributes the remaining stake over later times of change. */
const RESTART_OFFSET = 8;
/** Upper bound that keeps the evidence finite; far above any threshold. */
const EVIDENCE_CEILING = 1e60;

/** Returns the stake on a change at observation `count`; the sum over all counts is at most 1 - INITIAL_STAKE. */
function getRestartStake(count: number): number {
  const position = count + RESTART_OFFSET;
  const logarithm = Math.log(position);
  return ((1 - INITIAL_STAKE) * Math.log(RESTART_OFFSET)) / (position * logarithm * logarithm);
}

/**
 * Creates a mixture test martingale over alternatives and over unknown times of change: a betting process as in
 * Shin, Ramdas and Rinaldo, "E-detectors: a nonparametric framework for sequential change detection" (2023),
 * with stakes that sum to at most 1, so that Ville's inequality bounds the type I error at any stopping time.
 * Each factor given to `update` must have a conditional mean of at most 1 under the hypothesis.
 */
export default function createSequentialTest(alternatives: number): SequentialTest {
  const bets = new Float64Array(alternatives).fill(INITIAL_STAKE / alternatives);
  let evidence = INITIAL_STAKE;
  let unstaked = 1 - INITIAL_STAKE;
  let count = 0;

  return {
    get evidence() {
      return evidence;
    },
    get martingale() {
      return evidence + unstaked;
    },
    update(factors) {
      count += 1;
      const stake = getRestartStake(count);
      unstaked -= stake;
      let sum = 0;
      for (let index = 0; index < alternatives; index += 1) {
        const grown = (bets[index]! + stake / alternatives) * factors[index]!;
        bets[index] = Math.min(EVIDENCE_CEILING, grown);
        sum += bets[index]!;
      }
      evidence = sum;
    },
  };
}
