import type { JudgePolicy } from './types';

/** Errors, time to the first token, time between tokens. */
const GROUNDS = 3;
/** A failure domain's own evidence, and that of all failure domains together. */
const WAYS_TO_JUDGE = 2;
/** Part for the unit of every route. */
const WHOLE_UNIT_PART = 0.25;
/** Part shared equally by the units that are expected; the rest goes to any further ones. */
const EXPECTED_UNITS_PART = 0.5;

interface FalseAlarmOptions {
  readonly policy: JudgePolicy;
  readonly failureDomains: number;
  /** Position of the unit in order of appearance from 0; undefined for the unit of every route. */
  readonly position: number | undefined;
}

/**
 * The part of a move's false alarm that one test may spend. The parts of all tests of all failure domains sum to
 * at most the whole, however many routes and tiers appear.
 */
export default function shareFalseAlarm(options: FalseAlarmOptions): number {
  const { policy, failureDomains, position } = options;
  const whole = policy.falseAlarm / failureDomains / GROUNDS / WAYS_TO_JUDGE;
  if (position === undefined) {
    return whole * WHOLE_UNIT_PART;
  }
  if (position < policy.expectedUnits) {
    return (whole * EXPECTED_UNITS_PART) / policy.expectedUnits;
  }
  const further = position - policy.expectedUnits + 1;
  return (whole * (1 - WHOLE_UNIT_PART - EXPECTED_UNITS_PART)) / (further * (further + 1));
}
