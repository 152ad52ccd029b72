import type { MoveRun, VersionFault } from './types';

const MILLISECONDS_PER_SECOND = 1000;
const ROUNDING_FACTOR = 1000;

interface FaultRun {
  readonly fault: VersionFault;
  readonly run: MoveRun;
}

interface Distribution {
  readonly median: number | null;
  readonly percentile90: number | null;
  readonly maximum: number | null;
}

function round(value: number): number {
  return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
}

function computeDistribution(values: readonly (number | undefined)[]): Distribution {
  const sorted = values.filter((value) => value !== undefined).sort((left, right) => left - right);
  const getQuantile = (fraction: number): number | null => {
    const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))];
    return value === undefined ? null : round(value);
  };
  return { median: getQuantile(0.5), percentile90: getQuantile(0.9), maximum: getQuantile(1) };
}

function toSeconds(value: number | undefined): number | undefined {
  return value === undefined ? undefined : value / MILLISECONDS_PER_SECOND;
}

function computeShare(runs: readonly FaultRun[], holds: (run: MoveRun) => boolean): number | null {
  return runs.length === 0
    ? null
    : round(runs.filter(({ run }) => holds(run)).length / runs.length);
}

function summariseRegressions(bad: readonly FaultRun[]): object {
  const runs = bad.map(({ run }) => run);
  return {
    moves: bad.length,
    badTakenBackShare: computeShare(bad, (run) => run.verdict === 'takenBack'),
    secondsFromSeenToZero: computeDistribution(
      runs
        .filter((run) => !run.detectedWhilePartitioned)
        .map((run) => toSeconds(run.fromDetectionToZero)),
    ),
    seenWhileCutOff: runs.filter((run) => run.detectedWhilePartitioned).length,
    secondsFromSeenToZeroWhenCutOff: computeDistribution(
      runs
        .filter((run) => run.detectedWhilePartitioned)
        .map((run) => toSeconds(run.fromDetectionToZero)),
    ),
    secondsFromFirstFaultyToZero: computeDistribution(
      runs.map((run) => toSeconds(run.fromFirstFaultyToZero)),
    ),
    requestsBeforeSeen: computeDistribution(runs.map((run) => run.faultyBeforeDetection)),
    requestsAfterSeen: computeDistribution(runs.map((run) => run.newAfterDetection)),
    shareWhenSeen: computeDistribution(runs.map((run) => run.shareAtDetection)),
  };
}

/** Computes the figures of one outage policy. */
export default function summariseRuns(runs: readonly FaultRun[]): object {
  const good = runs.filter(({ fault }) => fault.kind === 'good');
  const bad = runs.filter(({ fault }) => fault.kind === 'bad');
  const kinds = [
    ...new Set(
      bad.map(({ fault }) => (fault.kind === 'bad' ? `${fault.symptom} ${fault.onset}` : '')),
    ),
  ];
  return {
    moves: runs.length,
    goodMoves: good.length,
    goodCompletedInTimeShare: computeShare(
      good,
      (run) => run.verdict === 'done' && run.fullShareInTime && !run.late,
    ),
    goodTakenBackShare: computeShare(good, (run) => run.verdict === 'takenBack'),
    goodSaidLateThoughInTime: good.filter(({ run }) => run.late && run.fullShareInTime).length,
    contradictingVerdicts: runs.filter(({ run }) => run.observedVerdicts.length > 1).length,
    rosesAfterVeto: runs.filter(({ run }) => run.roseAfterVeto).length,
    requests: runs.reduce((sum, { run }) => sum + run.requests, 0),
    bad: summariseRegressions(bad),
    badByKind: Object.fromEntries(
      kinds.map((kind) => [
        kind,
        summariseRegressions(
          bad.filter(
            ({ fault }) => fault.kind === 'bad' && `${fault.symptom} ${fault.onset}` === kind,
          ),
        ),
      ]),
    ),
  };
}
