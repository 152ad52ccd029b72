import { Debug } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { LoadBudget } from './types';

const MILLISECONDS_PER_MINUTE = 60_000;
/** Rounding that the check of the budget bears. */
const TOLERANCE = 1e-6;

/** Spends a budget of loads. */
interface LoadPacer {
  tryTake(now: Milliseconds): boolean;
}

/**
 * A token bucket that starts empty at `startedAt`: a predecessor may have spent the last of the budget. A burst of
 * less than one load is saved up for until it makes one.
 */
export default function createLoadPacer(budget: LoadBudget, startedAt: Milliseconds): LoadPacer {
  const rate = budget.loadsPerMinute / MILLISECONDS_PER_MINUTE;
  const capacity = Math.max(1, budget.burst);
  let saved = 0;
  let countedAt = startedAt;
  let taken = 0;

  return {
    tryTake(now) {
      saved = Math.min(capacity, saved + (now - countedAt) * rate);
      countedAt = now;
      if (saved < 1 - TOLERANCE) {
        return false;
      }
      saved -= 1;
      taken += 1;
      Debug.invariant(
        taken <= (now - startedAt) * rate + TOLERANCE,
        'weight-budget-kept',
        () => `${taken} loads within ${now - startedAt} ms at ${budget.loadsPerMinute} a minute`,
      );
      return true;
    },
  };
}
