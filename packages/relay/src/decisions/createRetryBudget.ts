import type { Milliseconds } from '@rattanreel/core';
import type { RelayBounds } from '../types';

/** Slices of a window in which requests and retries are counted. */
const SLICES_PER_WINDOW = 10;
/**
 * Share of the limit that hosts use. The rest is a margin, since requests that arrive in one window
 * may have been sent in the previous one.
 */
const USABLE_BUDGET_SHARE = 0.7;

interface RetryBudgetOptions {
  /** Read on each use, since a reload of the settings may change the values. */
  readonly bounds: Pick<RelayBounds, 'retryRatio' | 'retryWindow' | 'retrySlack'>;
}

interface RetryBudget {
  setHosts(count: number): void;
  recordRequest(now: Milliseconds): void;
  /**
   * Returns whether a request may be retried at another backend server, and counts the retry if so.
   */
  trySpendRetry(now: Milliseconds): boolean;
}

interface WindowSlice {
  index: number;
  requests: number;
  retries: number;
}

/**
 * Creates this host's part of a pool's retry budget: the ratio applied to its own requests, plus an
 * equal part of the slack. It needs no coordination with other hosts, so the total limit also holds
 * during a network partition.
 */
export default function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { bounds } = options;
  let slices: WindowSlice[] = [];
  let hosts = 1;

  function getCurrentSlice(now: Milliseconds): WindowSlice {
    const index = Math.floor(now / (bounds.retryWindow / SLICES_PER_WINDOW));
    slices = slices.filter((slice) => slice.index > index - SLICES_PER_WINDOW);
    let slice = slices.at(-1);
    if (slice === undefined || slice.index !== index) {
      slice = { index, requests: 0, retries: 0 };
      slices.push(slice);
    }
    return slice;
  }

  return {
    setHosts(count) {
      hosts = Math.max(count, 1);
    },
    recordRequest(now) {
      getCurrentSlice(now).requests += 1;
    },
    trySpendRetry(now) {
      const slice = getCurrentSlice(now);
      const requests = slices.reduce((sum, each) => sum + each.requests, 0);
      const retries = slices.reduce((sum, each) => sum + each.retries, 0);
      const allowed =
        USABLE_BUDGET_SHARE * (bounds.retryRatio * requests + bounds.retrySlack / hosts);
      if (retries + 1 > allowed) {
        return false;
      }
      slice.retries += 1;
      return true;
    },
  };
}
