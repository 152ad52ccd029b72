import createSequentialTest from './createSequentialTest';
import type { SequentialTest } from './types';

/** Alternative hypotheses: failure rates of the new version for which the test has power. */
const ALTERNATIVE_RATES: readonly number[] = [0.05, 0.3, 0.9];
/** Alternative hypotheses: multiples of the tolerated ratio of failure rates for which the test has power. */
const ALTERNATIVE_RATIOS: readonly number[] = [3, 10, 100];

/** Prior of the old version's failure rate: one failure in this many requests. */
const PRIOR_OLD_REQUESTS = 100;

interface FailureTestOptions {
  readonly toleratedRate: number;
  readonly toleratedRatio: number;
}

interface FailureObservation {
  readonly isNew: boolean;
  readonly failed: boolean;
  /** Estimated share of the new version in recent requests. */
  readonly newPart: number;
  /** Whether the old version no longer has traffic to compare with. */
  readonly isFullShare: boolean;
}

interface FailureTest {
  observe(observation: FailureObservation): void;
  /** Tests the hypothesis that the failure rate is at most the tolerated one. */
  readonly rate: SequentialTest;
  /** Tests the hypothesis that the failure rate is at most the tolerated multiple of the old version's. */
  readonly ratio: SequentialTest;
}

function getRateLikelihoodRatios(failed: boolean, toleratedRate: number): readonly number[] {
  return ALTERNATIVE_RATES.map((alternative) => {
    const rate = Math.max(alternative, Math.min(0.99, toleratedRate * 2));
    return failed ? rate / toleratedRate : (1 - rate) / (1 - toleratedRate);
  });
}

function getOriginLikelihoodRatios(
  isNew: boolean,
  newPart: number,
  ratio: number,
): readonly number[] {
  const toleratedProbability = (ratio * newPart) / (ratio * newPart + 1 - newPart);
  return ALTERNATIVE_RATIOS.map((alternative) => {
    const weight = alternative * ratio * newPart;
    const alternativeProbability = weight / (weight + 1 - newPart);
    return isNew
      ? alternativeProbability / toleratedProbability
      : (1 - alternativeProbability) / (1 - toleratedProbability);
  });
}

/**
 * Tests whether the new version fails more often than is tolerated. Two hypotheses must both be rejected:
 * that its failure rate is at most the tolerated rate (a likelihood ratio mixture for a Bernoulli rate), and
 * that its rate is at most the tolerated multiple of the old version's. The second follows Lindon, Sanden and
 * Shirikian, "Rapid regression detection in software deployments through sequential testing" (2022): given a
 * failure, the version that it came from depends only on the ratio of the rates, whatever common cause there is.
 * At full share, the rate observed for the old version so far is the baseline.
 */
export default function createFailureTest(options: FailureTestOptions): FailureTest {
  const rateTest = createSequentialTest(ALTERNATIVE_RATES.length);
  const ratioTest = createSequentialTest(ALTERNATIVE_RATIOS.length);
  let oldRequests = 0;
  let oldFailures = 0;

  function getBaselineRate(): number {
    const observed = (oldFailures + 1) / (oldRequests + PRIOR_OLD_REQUESTS);
    return Math.min(0.5, Math.max(options.toleratedRate, options.toleratedRatio * observed));
  }

  return {
    observe({ isNew, failed, newPart, isFullShare }) {
      if (!isNew) {
        oldRequests += 1;
        oldFailures += failed ? 1 : 0;
      }
      if (isNew) {
        rateTest.update(getRateLikelihoodRatios(failed, options.toleratedRate));
      }
      if (!isFullShare) {
        if (failed) {
          ratioTest.update(getOriginLikelihoodRatios(isNew, newPart, options.toleratedRatio));
        }
      } else if (isNew) {
        ratioTest.update(getRateLikelihoodRatios(failed, getBaselineRate()));
      }
    },
    rate: rateTest,
    ratio: ratioTest,
  };
}
