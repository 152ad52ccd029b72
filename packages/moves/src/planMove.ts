import { fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import type { MovePlanError, MovePlanOptions, MoveStep } from './types';

const DEFAULT_FIRST_SHARE = 0.01;
const DEFAULT_ODDS_GROWTH_FACTOR = 2.5;
const DEFAULT_MINIMUM_STEP_TIME_MILLISECONDS = 20_000;
const DEFAULT_DEADLINE_MARGIN_FRACTION = 0.25;
const MAXIMUM_FIRST_SHARE = 0.1;
const LAST_PARTIAL_SHARE = 0.8;
/** Minimum number of steps of a plan, from the first share to full share. */
const MINIMUM_STEPS = 4;
/** Number of requests that the new version should receive in the first step. */
const MINIMUM_FIRST_STEP_REQUESTS = 30;

/**
 * Computes shares whose odds grow by a constant factor from `firstShare` to LAST_PARTIAL_SHARE, followed by 1. The
 * steps are small at both ends, so that the last servers of the old version are not needed by both versions at once.
 */
function computeShares(firstShare: number, count: number): readonly number[] {
  const firstOdds = firstShare / (1 - firstShare);
  const lastOdds = LAST_PARTIAL_SHARE / (1 - LAST_PARTIAL_SHARE);
  const oddsFactor = (lastOdds / firstOdds) ** (1 / (count - 2));
  return Array.from({ length: count }, (_, index) => {
    const odds = firstOdds * oddsFactor ** index;
    return index === count - 1 ? 1 : odds / (1 + odds);
  });
}

function chooseFirstShare(options: MovePlanOptions, stepTime: number): number {
  const wanted = options.firstShare ?? DEFAULT_FIRST_SHARE;
  if (options.requestsPerSecond === undefined || options.requestsPerSecond <= 0) {
    return wanted;
  }
  const requestsInStep = (options.requestsPerSecond * stepTime) / 1000;
  return Math.max(
    wanted,
    Math.min(MAXIMUM_FIRST_SHARE, MINIMUM_FIRST_STEP_REQUESTS / requestsInStep),
  );
}

/**
 * Plans the steps of a move: a small share first, then growing shares at equal intervals, so that full share is due
 * with a margin before the deadline. Fails when the time is too short for MINIMUM_STEPS steps.
 */
export default function planMove(
  options: MovePlanOptions,
): Outcome<readonly MoveStep[], MovePlanError> {
  if (options.from === options.to) {
    return fail({ kind: 'sameVersion', version: options.to });
  }
  const stepTime = options.minimumStepTime ?? DEFAULT_MINIMUM_STEP_TIME_MILLISECONDS;
  const marginFraction = options.deadlineMarginFraction ?? DEFAULT_DEADLINE_MARGIN_FRACTION;
  const availableMilliseconds = (options.deadline - options.startedAt) * (1 - marginFraction);
  const maximumSteps = Math.floor(availableMilliseconds / stepTime) + 1;
  if (maximumSteps < MINIMUM_STEPS) {
    const leastMilliseconds = Math.ceil(((MINIMUM_STEPS - 1) * stepTime) / (1 - marginFraction));
    return fail({ kind: 'deadlineTooNear', leastMilliseconds });
  }
  const oddsGrowthFactor = options.oddsGrowthFactor ?? DEFAULT_ODDS_GROWTH_FACTOR;
  const configuredFirstShare = options.firstShare ?? DEFAULT_FIRST_SHARE;
  const oddsRatio =
    (LAST_PARTIAL_SHARE * (1 - configuredFirstShare)) /
    ((1 - LAST_PARTIAL_SHARE) * configuredFirstShare);
  const wantedSteps = Math.ceil(Math.log(oddsRatio) / Math.log(oddsGrowthFactor)) + 2;
  const count = Math.min(maximumSteps, Math.max(MINIMUM_STEPS, wantedSteps));
  const stepInterval = availableMilliseconds / (count - 1);
  const shares = computeShares(chooseFirstShare(options, stepInterval), count);
  return ok(
    shares.map((share, index) => ({
      share,
      notBefore: Math.round(options.startedAt + index * stepInterval),
    })),
  );
}
