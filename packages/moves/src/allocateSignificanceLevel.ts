import type { RegressionTestPolicy } from './types';

/** Errors, time to the first token, time between tokens. */
const METRIC_COUNT = 3;
/** A failure domain's own evidence, and that of all failure domains together. */
const TEST_SCOPE_COUNT = 2;
/** Part for the unit of every route. */
const ALL_TRAFFIC_FRACTION = 0.25;
/** Part shared equally by the units that are expected; the rest goes to any further ones. */
const EXPECTED_SEGMENTS_FRACTION = 0.5;

interface SignificanceLevelOptions {
  readonly policy: RegressionTestPolicy;
  readonly failureDomains: number;
  /** Position of the unit in order of appearance from 0; undefined for the unit of every route. */
  readonly position: number | undefined;
}

/**
 * The part of a move's false alarm that one test may spend. The parts of all tests of all failure domains sum to
 * at most the whole, however many routes and tiers appear.
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
