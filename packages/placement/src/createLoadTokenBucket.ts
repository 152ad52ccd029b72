import { Debug } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { LoadBudget } from './types';

const MILLISECONDS_PER_MINUTE = 60_000;
/** Rounding error that the budget check tolerates, in loads. */
const ROUNDING_TOLERANCE = 1e-6;

/** Limits the rate of loads to a budget. */
interface LoadTokenBucket {
  tryTake(now: Milliseconds): boolean;
}

/**
 * Creates a token bucket that starts empty at `startedAt`, because an earlier lease holder may have used up the budget.
 * A burst below one load is raised to one, so that a small budget accumulates until it allows a load.
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
