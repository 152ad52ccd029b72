import type { Milliseconds, Random } from '@rattanreel/core';
import type {
  Fault,
  InputFaultKind,
  OperatorSignal,
  ProcessFault,
  ProcessFaultKind,
  SignalStep,
  SoakShape,
  WorldFault,
  WorldFaultKind,
} from './types';

const MINIMUM_FAULTS = 3;
const MAXIMUM_FAULTS = 9;
const MAXIMUM_INPUT_FAULTS = 3;
const MAXIMUM_CHANGES = 3;
const MINIMUM_PROCESS_FAULTS = 1;
const MAXIMUM_PROCESS_FAULTS = 3;
const MINIMUM_SIGNALS = 2;
const MAXIMUM_SIGNALS = 6;
const MAXIMUM_SIGNAL_GAP: Milliseconds = 600;
const MAXIMUM_DURATION: Milliseconds = 3_000;
const MINIMUM_DURATION: Milliseconds = 300;

const faultKinds: readonly WorldFaultKind[] = [
  'hostKilled',
  'hostStopped',
  'hostPaused',
  'hostReloaded',
  'storeDown',
  'storeSilent',
  'storeCompacted',
  'storeLinkCut',
  'storeLinkReset',
  'serverCrashed',
  'serverFails',
  'serverLosesAnswers',
  'serverHangs',
  'serverLinkSlow',
  'serverLinkReset',
  'serverDrained',
  'domainEvacuated',
  'keyRevoked',
  'configurationStorm',
  'customerBurst',
];

const inputFaultKinds: readonly InputFaultKind[] = [
  'serverBreaksOff',
  'serverSendsWithoutEnd',
  'entryMalformed',
];

const processFaultKinds: readonly ProcessFaultKind[] = [
  'hostSignalled',
  'hostSignalled',
  'hostReloadedAtStart',
  'hostRestartedOverlapping',
  'hostsStoppedTogether',
  'hostsStoppedInTurn',
  'portTaken',
];

/** Changes beside the stops of a run that has no other faults. */
const changeKinds: readonly WorldFaultKind[] = [
  'hostReloaded',
  'serverDrained',
  'keyRevoked',
  'configurationStorm',
];

const operatorSignals: readonly OperatorSignal[] = [
  'SIGHUP',
  'SIGTERM',
  'SIGINT',
  'SIGQUIT',
  'SIGUSR2',
];

function drawSignals(random: Random): readonly SignalStep[] {
  return Array.from({ length: random.integer(MINIMUM_SIGNALS, MAXIMUM_SIGNALS) }, () => ({
    signal: operatorSignals[random.integer(0, operatorSignals.length - 1)]!,
    after: random.integer(0, MAXIMUM_SIGNAL_GAP),
  }));
}

/**
 * Draws the faults of one run, ordered by time; they may overlap. Kinds that are newer are drawn after
 * the others, so that a seed keeps those that it had before there were any.
 */
export default function drawFaults(
  random: Random,
  span: Milliseconds,
  shape: SoakShape,
): readonly Fault[] {
  const drawFault = <Kind>(kinds: readonly Kind[]) => ({
    kind: kinds[random.integer(0, kinds.length - 1)]!,
    at: random.integer(0, span),
    target: random.integer(0, 1_000),
    duration: random.integer(MINIMUM_DURATION, MAXIMUM_DURATION),
  });
  const drawKinds = (kinds: readonly WorldFaultKind[], count: number): readonly WorldFault[] =>
    Array.from({ length: count }, () => drawFault(kinds));

  const drawProcessFaults = (
    kinds: readonly ProcessFaultKind[],
    count: number,
  ): readonly ProcessFault[] =>
    Array.from({ length: count }, () => ({ ...drawFault(kinds), signals: drawSignals(random) }));
  const sortByTime = (faults: readonly Fault[]): readonly Fault[] =>
    [...faults].sort((left, right) => left.at - right.at);

  if (shape === 'stops') {
    const [stops] = drawProcessFaults(['everyHostStopped'], 1) as [ProcessFault];
    return sortByTime([
      { ...stops, at: 0 },
      ...drawKinds(changeKinds, random.integer(0, MAXIMUM_CHANGES)),
      ...drawProcessFaults(processFaultKinds, random.integer(0, 1)),
    ]);
  }
  const faults = drawKinds(faultKinds, random.integer(MINIMUM_FAULTS, MAXIMUM_FAULTS));
  const inputFaults = drawKinds(inputFaultKinds, random.integer(0, MAXIMUM_INPUT_FAULTS));
  const processFaults = drawProcessFaults(
    processFaultKinds,
    random.integer(MINIMUM_PROCESS_FAULTS, MAXIMUM_PROCESS_FAULTS),
  );
  const stops = drawProcessFaults(['everyHostStopped'], random.integer(0, 1));
  return sortByTime([...faults, ...inputFaults, ...processFaults, ...stops]);
}
