import type { Milliseconds } from '@rattanreel/core';
import createReferenceTimes from './createReferenceTimes';

/** Old requests that one new request is compared with at most. */
const MOST_COMPARED = 8;
/** Old and new requests further apart than this are not compared. */
const COMPARISON_WINDOW_MILLISECONDS = 60_000;
/** Ratios of the weights of neighbouring ranks; the smaller, the more the top rank counts. */
const RANK_RATIOS: readonly number[] = [0.2, 0.5, 0.8];
/** Tolerated and alternative parts of requests above the old version's 90th percentile. */
const TOLERATED_ABOVE_QUANTILE = 0.2;
const ALTERNATIVES_ABOVE_QUANTILE: readonly number[] = [0.4, 0.7, 0.9];

interface TimedValue {
  readonly value: Milliseconds;
  readonly at: Milliseconds;
}

interface LatencyObservation {
  readonly isNew: boolean;
  readonly value: Milliseconds;
  /** Length of the request in tokens. */
  readonly length: number;
  readonly hasOldTraffic: boolean;
}

interface LatencyPairing {
  /** Factors of the bets that this observation settles; empty while it waits for one to compare with. */
  observe(observation: LatencyObservation, now: Milliseconds): readonly (readonly number[])[];
}

interface LengthRange {
  old: TimedValue[];
  waiting: TimedValue[];
  readonly reference: ReturnType<typeof createReferenceTimes>;
}

/** Weights of the ranks 0 to `compared`, with mean 1, growing towards the slowest. */
function rankFactors(rank: number, compared: number): readonly number[] {
  return RANK_RATIOS.map((ratio) => {
    const scale = ((compared + 1) * (1 - ratio)) / (1 - ratio ** (compared + 1));
    return scale * ratio ** (compared - rank);
  });
}

function quantileFactors(above: boolean): readonly number[] {
  return ALTERNATIVES_ABOVE_QUANTILE.map((rate) =>
    above ? rate / TOLERATED_ABOVE_QUANTILE : (1 - rate) / (1 - TOLERATED_ABOVE_QUANTILE),
  );
}

/**
 * Compares the new version's times with the old one's by rank, within a factor of two in length and within a
 * minute, each request being used once. A rank among fresh exchangeable observations is uniform, so that a bet
 * on it has mean 1 whatever the distribution (a conformal test martingale: Vovk, Gammerman and Shafer,
 * "Algorithmic learning in a random world", 2005). Times of the new version are divided by `tolerated` first.
 * Without old traffic, the new version's times are held against the 90th percentile of the old one's last.
 */
export default function createLatencyPairing(tolerated: number): LatencyPairing {
  const ranges = new Map<number, LengthRange>();

  function getRange(length: number): LengthRange {
    const key = Math.floor(Math.log2(Math.max(1, length)));
    let range = ranges.get(key);
    if (range === undefined) {
      range = { old: [], waiting: [], reference: createReferenceTimes() };
      ranges.set(key, range);
    }
    return range;
  }

  function observeOld(range: LengthRange, seen: TimedValue): readonly (readonly number[])[] {
    range.reference.add(seen.value);
    const partner = range.waiting.shift();
    if (partner !== undefined && seen.at - partner.at <= COMPARISON_WINDOW_MILLISECONDS) {
      return [rankFactors(partner.value / tolerated > seen.value ? 1 : 0, 1)];
    }
    range.old.push(seen);
    if (range.old.length > MOST_COMPARED) {
      range.old.shift();
    }
    return [];
  }

  function observeNew(range: LengthRange, seen: TimedValue): readonly (readonly number[])[] {
    const fresh = range.old.filter(({ at }) => seen.at - at <= COMPARISON_WINDOW_MILLISECONDS);
    range.old = [];
    if (fresh.length === 0) {
      range.waiting.push(seen);
      if (range.waiting.length > MOST_COMPARED) {
        range.waiting.shift();
      }
      return [];
    }
    const slower = fresh.filter(({ value }) => seen.value / tolerated > value).length;
    return [rankFactors(slower, fresh.length)];
  }

  return {
    observe({ isNew, value, length, hasOldTraffic }, now) {
      const range = getRange(length);
      if (!isNew) {
        return observeOld(range, { value, at: now });
      }
      if (hasOldTraffic) {
        return observeNew(range, { value, at: now });
      }
      const limit = range.reference.tryGetUpperQuantile();
      return limit === undefined ? [] : [quantileFactors(value / tolerated > limit)];
    },
  };
}
