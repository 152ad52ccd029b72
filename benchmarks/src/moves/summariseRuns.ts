import type { MoveRun, VersionFault } from './types';

const MILLISECONDS_PER_SECOND = 1000;
const DECIMALS = 1000;

interface NamedRun {
  readonly fault: VersionFault;
  readonly run: MoveRun;
}

interface Distribution {
  readonly median: number | null;
  readonly percentile90: number | null;
  readonly maximum: number | null;
}

function round(value: number): number {
  return Math.round(value * DECIMALS) / DECIMALS;
}

function describe(values: readonly (number | undefined)[]): Distribution {
  const sorted = values.filter((value) => value !== undefined).sort((left, right) => left - right);
  const at = (part: number): number | null => {
    const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))];
    return value === undefined ? null : round(value);
  };
  return { median: at(0.5), percentile90: at(0.9), maximum: at(1) };
}

function toSeconds(value: number | undefined): number | undefined {
  return value === undefined ? undefined : value / MILLISECONDS_PER_SECOND;
}

function share(runs: readonly NamedRun[], holds: (run: MoveRun) => boolean): number | null {
  return runs.length === 0
    ? null
    : round(runs.filter(({ run }) => holds(run)).length / runs.length);
}

function summariseBad(bad: readonly NamedRun[]): object {
  const runs = bad.map(({ run }) => run);
  return {
    moves: bad.length,
    badTakenBackShare: share(bad, (run) => run.verdict === 'takenBack'),
    secondsFromSeenToZero: describe(
      runs.filter((run) => !run.seenWhileCutOff).map((run) => toSeconds(run.fromSeenToZero)),
    ),
    seenWhileCutOff: runs.filter((run) => run.seenWhileCutOff).length,
    secondsFromSeenToZeroWhenCutOff: describe(
      runs.filter((run) => run.seenWhileCutOff).map((run) => toSeconds(run.fromSeenToZero)),
    ),
    secondsFromFirstFaultyToZero: describe(runs.map((run) => toSeconds(run.fromFirstFaultyToZero))),
    requestsBeforeSeen: describe(runs.map((run) => run.faultyBeforeSeen)),
    requestsAfterSeen: describe(runs.map((run) => run.newAfterSeen)),
    shareWhenSeen: describe(runs.map((run) => run.shareWhenSeen)),
  };
}

/** The figures of one policy. */
export default function summariseRuns(runs: readonly NamedRun[]): object {
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
    goodCompletedInTimeShare: share(
      good,
      (run) => run.verdict === 'done' && run.fullShareInTime && !run.late,
    ),
    goodTakenBackShare: share(good, (run) => run.verdict === 'takenBack'),
    goodSaidLateThoughInTime: good.filter(({ run }) => run.late && run.fullShareInTime).length,
    contradictingVerdicts: runs.filter(({ run }) => run.verdictsSaid.length > 1).length,
    rosesAfterVeto: runs.filter(({ run }) => run.roseAfterVeto).length,
    requests: runs.reduce((sum, { run }) => sum + run.requests, 0),
    bad: summariseBad(bad),
    badByKind: Object.fromEntries(
      kinds.map((kind) => [
        kind,
        summariseBad(
          bad.filter(
            ({ fault }) => fault.kind === 'bad' && `${fault.symptom} ${fault.onset}` === kind,
          ),
        ),
      ]),
    ),
  };
}
