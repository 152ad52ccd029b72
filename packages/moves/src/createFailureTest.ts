import createSequentialTest from './createSequentialTest';

/** Failure rates of the new version that the test is made to notice. */
const ALTERNATIVE_RATES: readonly number[] = [0.05, 0.3, 0.9];
/** Factors over the tolerated ratio of failure rates that the test is made to notice. */
const ALTERNATIVE_RATIOS: readonly number[] = [3, 10, 100];

interface FailureTestOptions {
  readonly toleratedRate: number;
  readonly toleratedRatio: number;
}

interface FailureObservation {
  readonly isNew: boolean;
  readonly failed: boolean;
  /** The new version's part of the requests at the time. */
  readonly newPart: number;
  /** Whether the old version still has traffic to compare with. */
  readonly hasOldTraffic: boolean;
}

interface FailureTest {
  observe(observation: FailureObservation): void;
  /** The smaller evidence of the two hypotheses, either of which would make the version good. */
  evidence(): number;
}

function rateFactors(failed: boolean, toleratedRate: number): readonly number[] {
  return ALTERNATIVE_RATES.map((alternative) => {
    const rate = Math.max(alternative, Math.min(0.99, toleratedRate * 2));
    return failed ? rate / toleratedRate : (1 - rate) / (1 - toleratedRate);
  });
}

function originFactors(isNew: boolean, newPart: number, ratio: number): readonly number[] {
  const tolerated = (ratio * newPart) / (ratio * newPart + 1 - newPart);
  return ALTERNATIVE_RATIOS.map((alternative) => {
    const weight = alternative * ratio * newPart;
    const expected = weight / (weight + 1 - newPart);
    return isNew ? expected / tolerated : (1 - expected) / (1 - tolerated);
  });
}

/**
 * Tests whether the new version fails more often than is tolerated. Two hypotheses must both be given up:
 * that its failure rate is at most the tolerated rate (a likelihood ratio mixture for a Bernoulli rate), and
 * that its rate is at most the tolerated multiple of the old version's. The second follows Lindon, Sanden and
 * Shirikian, "Rapid regression detection in software deployments through sequential testing" (2022): given a
 * failure, which version it came from depends on the ratio of the rates only, whatever common cause there is.
 * Without old traffic to compare with, the old version's rate until then stands in.
 */
export default function createFailureTest(options: FailureTestOptions): FailureTest {
  const rateTest = createSequentialTest(ALTERNATIVE_RATES.length);
  const ratioTest = createSequentialTest(ALTERNATIVE_RATIOS.length);
  let oldRequests = 0;
  let oldFailures = 0;

  function baselineRate(): number {
    const observed = (oldFailures + 1) / (oldRequests + 2);
    return Math.min(0.5, Math.max(options.toleratedRate, options.toleratedRatio * observed));
  }

  return {
    observe({ isNew, failed, newPart, hasOldTraffic }) {
      if (!isNew) {
        oldRequests += 1;
        oldFailures += failed ? 1 : 0;
      }
      if (isNew) {
        rateTest.update(rateFactors(failed, options.toleratedRate));
      }
      if (hasOldTraffic) {
        if (failed) {
          ratioTest.update(originFactors(isNew, newPart, options.toleratedRatio));
        }
      } else if (isNew) {
        ratioTest.update(rateFactors(failed, baselineRate()));
      }
    },
    evidence: () => Math.min(rateTest.evidence, ratioTest.evidence),
  };
}
