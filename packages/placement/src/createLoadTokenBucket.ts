import { Debug } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { LoadBudget } from './types';

const MILLISECONDS_PER_MINUTE = 60_000;
/** Rounding that the check of the budget bears. */
const ROUNDING_TOLERANCE = 1e-6;

/** Spends a budget of loads. */
interface LoadTokenBucket {
  tryTake(now: Milliseconds): boolean;
}

/**
 * A token bucket that starts empty at `startedAt`: a predecessor may have spent the last of the budget. A burst of
 * less than one load is saved up for until it makes one.
 */
export default function createLoadTokenBucket(
  budget: LoadBudget,
  startedAt: Milliseconds,
): LoadTokenBucket {
  const rate = budget.loadsPerMinute / MILLISECONDS_PER_MINUTE;
  const capacity = Math.max(1, budget.burst);
  let availableLoads = 0;
  let refilledAt = startedAt;
  let takenLoads = 0;

  return {
    tryTake(now) {
      availableLoads = Math.min(capacity, availableLoads + (now - refilledAt) * rate);
      refilledAt = now;
      if (availableLoads < 1 - ROUNDING_TOLERANCE) {
        return false;
      }
      availableLoads -= 1;
      takenLoads += 1;
      Debug.invariant(
        takenLoads <= (now - startedAt) * rate + ROUNDING_TOLERANCE,
        'weight-budget-kept',
        () =>
          `${takenLoads} loads within ${now - startedAt} ms at ${budget.loadsPerMinute} a minute`,
      );
      return true;
    },
  };
}
