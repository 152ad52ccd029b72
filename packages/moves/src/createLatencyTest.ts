import type { Milliseconds } from '@rattanreel/core';
import createReferenceTimes from './createReferenceTimes';
import createSequentialTest from './createSequentialTest';
import type { SequentialTest } from './types';

/** Maximum number of old requests that one new request is compared with. */
const MAXIMUM_COMPARED_REQUESTS = 8;
/** Old and new requests further apart than this are not compared. */
const COMPARISON_WINDOW_MILLISECONDS = 60_000;
/** Ratios of the weights of adjacent ranks; a smaller ratio puts more weight on the top rank. */
const RANK_RATIOS: readonly number[] = [0.2, 0.5, 0.8];
/** Tolerated and alternative fractions of requests above the old version's 90th percentile. */
const TOLERATED_FRACTION_ABOVE_QUANTILE = 0.2;
const ALTERNATIVE_FRACTIONS_ABOVE_QUANTILE: readonly number[] = [0.4, 0.7, 0.9];

interface TimedValue {
  readonly value: number;
  readonly at: Milliseconds;
}

interface LatencyObservation {
  readonly isNew: boolean;
  /** Normalised logarithm of the time. */
  readonly value: number;
  /** Whether the old version no longer has traffic to compare with. */
  readonly isFullShare: boolean;
}

interface LatencyTest {
  observe(observation: LatencyObservation, now: Milliseconds): void;
  readonly test: SequentialTest;
}

/**
 * Returns a weight of the rank for each ratio. The weights of the ranks 0 to `compared` have mean 1 and grow towards
 * the slowest.
 */
function getRankFactors(rank: number, compared: number): readonly number[] {
  return RANK_RATIOS.map((ratio) => {
    const scale = ((compared + 1) * (1 - ratio)) / (1 - ratio ** (compared + 1));
    return scale * ratio ** (compared - rank);
  });
}

function getQuantileFactors(isAboveQuantile: boolean): readonly number[] {
  return ALTERNATIVE_FRACTIONS_ABOVE_QUANTILE.map((fraction) =>
    isAboveQuantile
      ? fraction / TOLERATED_FRACTION_ABOVE_QUANTILE
      : (1 - fraction) / (1 - TOLERATED_FRACTION_ABOVE_QUANTILE),
  );
}

/**
 * Compares the times of the new version with those of the old one by rank, within a minute, using each request once.
 * The rank among fresh exchangeable observations is uniform, so that a bet on it has mean 1 whatever the distribution
 * (a conformal test martingale: Vovk, Gammerman and Shafer, "Algorithmic learning in a random world", 2005). Times of
 * the new version are first divided by `toleratedRatio`. At full share, they are compared with the 90th percentile of
 * the old version's last times; twice the expected fraction above it is tolerated.
 */
export default function createLatencyTest(toleratedRatio: number): LatencyTest {
  const test = createSequentialTest(RANK_RATIOS.length);
  const reference = createReferenceTimes();
  const toleratedLogRatio = Math.log(toleratedRatio);
  let unmatchedOld: TimedValue[] = [];
  const unmatchedNew: TimedValue[] = [];

  function observeOld(oldRequest: TimedValue): void {
    reference.add(oldRequest.value);
    const newRequest = unmatchedNew.shift();
    if (
      newRequest !== undefined &&
      oldRequest.at - newRequest.at <= COMPARISON_WINDOW_MILLISECONDS
    ) {
      test.update(
        getRankFactors(newRequest.value - toleratedLogRatio > oldRequest.value ? 1 : 0, 1),
      );
      return;
    }
    unmatchedOld.push(oldRequest);
    if (unmatchedOld.length > MAXIMUM_COMPARED_REQUESTS) {
      unmatchedOld.shift();
    }
  }

  function observeNew(newRequest: TimedValue): void {
    const fresh = unmatchedOld.filter(
      ({ at }) => newRequest.at - at <= COMPARISON_WINDOW_MILLISECONDS,
    );
    unmatchedOld = [];
    if (fresh.length === 0) {
      unmatchedNew.push(newRequest);
      if (unmatchedNew.length > MAXIMUM_COMPARED_REQUESTS) {
        unmatchedNew.shift();
      }
      return;
    }
    const slower = fresh.filter(({ value }) => newRequest.value - toleratedLogRatio > value).length;
    test.update(getRankFactors(slower, fresh.length));
  }

  return {
    test,
    observe({ isNew, value, isFullShare }, now) {
      if (!isNew) {
        observeOld({ value, at: now });
        return;
      }
      if (!isFullShare) {
        observeNew({ value, at: now });
        return;
      }
      const limit = reference.tryGetUpperQuantile();
      if (limit !== undefined) {
        test.update(getQuantileFactors(value - toleratedLogRatio > limit));
      }
    },
  };
}
