import createAllocationEstimator from './createAllocationEstimator';
import createFailureTest from './createFailureTest';
import createLatencyTest from './createLatencyTest';
import type { TrafficSegment, RegressionTestPolicy, SegmentTests } from './types';

interface SegmentTestsOptions {
  readonly segment: TrafficSegment;
  readonly policy: RegressionTestPolicy;
  /** Significance level of the test of one cause on this segment. */
  readonly significanceLevel: number;
}

/** Creates the tests of one traffic segment. */
export default function createSegmentTests(options: SegmentTestsOptions): SegmentTests {
  const { policy, segment, significanceLevel } = options;
  const allocation = createAllocationEstimator();
  const failureTest = createFailureTest({
    toleratedRate: policy.toleratedFailureRate,
    toleratedRatio: policy.toleratedFailureRatio,
  });
  const firstTokenTest = createLatencyTest(policy.toleratedFirstTokenRatio);
  const betweenTokensTest = createLatencyTest(policy.toleratedBetweenTokensRatio);
  let newRequests = 0;
  let oldRequests = 0;

  return {
    segment,
    significanceLevel,
    observe(observation, now) {
      const { isNew, failed, isFullShare } = observation;
      failureTest.observe({ isNew, failed, newPart: allocation.newPart(), isFullShare });
      if (observation.firstToken !== undefined) {
        firstTokenTest.observe({ isNew, value: observation.firstToken, isFullShare }, now);
      }
      if (observation.betweenTokens !== undefined) {
        betweenTokensTest.observe({ isNew, value: observation.betweenTokens, isFullShare }, now);
      }
      allocation.countRequest(isNew);
      newRequests += isNew ? 1 : 0;
      oldRequests += isNew ? 0 : 1;
    },
    evidence: () => ({
      failureRate: failureTest.rate.evidence,
      failureRatio: failureTest.ratio.evidence,
      firstToken: firstTokenTest.test.evidence,
      betweenTokens: betweenTokensTest.test.evidence,
    }),
    martingales: () => ({
      failureRate: failureTest.rate.martingale,
      failureRatio: failureTest.ratio.martingale,
      firstToken: firstTokenTest.test.martingale,
      betweenTokens: betweenTokensTest.test.martingale,
    }),
    newRequests: () => newRequests,
    oldRequests: () => oldRequests,
    beginStep() {
      newRequests = 0;
      oldRequests = 0;
    },
  };
}
