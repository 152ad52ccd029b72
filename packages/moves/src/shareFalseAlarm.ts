import type { JudgePolicy } from './types';

/** Errors, time to the first token, time between tokens. */
const GROUNDS = 3;
/** Part for the test over all routes and tiers together. */
const POOLED_PART = 0.25;
/** Part shared equally by the cells that are expected; the rest goes to any further ones. */
const EXPECTED_CELLS_PART = 0.5;

interface FalseAlarmOptions {
  readonly policy: JudgePolicy;
  readonly failureDomains: number;
  /** Position of the cell in order of appearance from 0; undefined for the pooled test. */
  readonly cell: number | undefined;
}

/**
 * The part of a move's false alarm that one test may spend. The parts of all tests of all failure domains sum to
 * at most the whole, however many routes and tiers appear.
 */
export default function shareFalseAlarm(options: FalseAlarmOptions): number {
  const { policy, failureDomains, cell } = options;
  const whole = policy.falseAlarm / failureDomains / GROUNDS;
  if (cell === undefined) {
    return whole * POOLED_PART;
  }
  if (cell < policy.expectedCells) {
    return (whole * EXPECTED_CELLS_PART) / policy.expectedCells;
  }
  const further = cell - policy.expectedCells + 1;
  return (whole * (1 - POOLED_PART - EXPECTED_CELLS_PART)) / (further * (further + 1));
}
