import type { HedgeBudget } from './types';

/** Hedges that a host may save up, so that a quiet minute does not allow a burst of extra work. */
const MAXIMUM_SAVED_HEDGES = 10;

/**
 * Limits the hedges of one host to a share of its requests. Every hedge has been earned by requests
 * of the same host, so the limit holds for the sum over all hosts, without messages and in
 * partitions; a process that starts has earned nothing.
 */
export default function createHedgeBudget(limit: number): HedgeBudget {
  let earned = 0;

  return {
    recordRequest() {
      earned = Math.min(earned + limit, MAXIMUM_SAVED_HEDGES);
    },
    trySpend() {
      const isAllowed = earned >= 1;
      earned -= isAllowed ? 1 : 0;
      return isAllowed;
    },
    refund() {
      earned += 1;
    },
  };
}
