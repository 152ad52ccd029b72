import { build } from 'hdr-histogram-js';
import type { CallerOutcome, CallerRecord, LoadSummary, Percentiles, TierSummary } from './types';

const MAXIMUM_TRACKABLE_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 3;

function computePercentiles(values: readonly number[]): Percentiles {
  const histogram = build({
    highestTrackableValue: MAXIMUM_TRACKABLE_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  values.forEach((value) => histogram.recordValue(Math.round(value)));
  return {
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
    maximum: histogram.maxValue,
  };
}

function summariseTier(tier: string, records: readonly CallerRecord[]): TierSummary {
  const completed = records.filter(({ outcome }) => outcome === 'answeredWhole');
  return {
    tier,
    requests: records.length,
    answeredWhole: completed.length,
    goodputShare: records.length === 0 ? 1 : completed.length / records.length,
    firstTokenMilliseconds: computePercentiles(
      completed.flatMap(({ firstTokenAfter }) => firstTokenAfter ?? []),
    ),
  };
}

/** Aggregates the records of a run. */
export default function summariseLoad(seed: number, records: readonly CallerRecord[]): LoadSummary {
  const outcomes: Record<CallerOutcome, number> = {
    answeredWhole: 0,
    refusedNotRun: 0,
    mayHaveRun: 0,
    partlyRun: 0,
    rejected: 0,
    cutShort: 0,
  };
  records.forEach(({ outcome }) => {
    outcomes[outcome] += 1;
  });
  const tiers = [...new Set(records.map(({ planned }) => planned.tier))].sort();
  return {
    seed,
    requests: records.length,
    outcomes,
    crossedAnswers: records.filter(({ crossed }) => crossed).length,
    tiers: tiers.map((tier) =>
      summariseTier(
        tier,
        records.filter(({ planned }) => planned.tier === tier),
      ),
    ),
    durationMilliseconds: computePercentiles(records.map(({ duration }) => duration)),
  };
}
