import type { RegressionTestPolicy } from './types';

/** Failures, time to the first token and time between tokens. */
const METRIC_COUNT = 3;
/** A failure domain's own evidence, and the joint evidence of all failure domains. */
const TEST_SCOPE_COUNT = 2;
/** Fraction of the level for the segment of all traffic. */
const ALL_TRAFFIC_FRACTION = 0.25;
/** Fraction of the level divided equally among the expected segments; the rest is for any further ones. */
const EXPECTED_SEGMENTS_FRACTION = 0.5;

interface SignificanceLevelOptions {
  readonly policy: RegressionTestPolicy;
  readonly failureDomains: number;
  /** Index of the segment in order of appearance, from 0; undefined for the segment of all traffic. */
  readonly position: number | undefined;
}

/**
 * Returns the part of a move's significance level that is allocated to one test. The parts of all tests of all failure
 * domains sum to at most this level, however many routes and tiers appear.
 */
export default function allocateSignificanceLevel(options: SignificanceLevelOptions): number {
  const { policy, failureDomains, position } = options;
  const level = policy.significanceLevel / failureDomains / METRIC_COUNT / TEST_SCOPE_COUNT;
  if (position === undefined) {
    return level * ALL_TRAFFIC_FRACTION;
  }
  if (position < policy.expectedSegments) {
    return (level * EXPECTED_SEGMENTS_FRACTION) / policy.expectedSegments;
  }
  const extra = position - policy.expectedSegments + 1;
  return (level * (1 - ALL_TRAFFIC_FRACTION - EXPECTED_SEGMENTS_FRACTION)) / (extra * (extra + 1));
}
