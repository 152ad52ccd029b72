import type { Milliseconds, Random } from '@rattanreel/core';
import type { Fault, FaultKind, InputFaultKind } from './types';

const MINIMUM_FAULTS = 3;
const MAXIMUM_FAULTS = 9;
const MAXIMUM_INPUT_FAULTS = 3;
const MAXIMUM_DURATION: Milliseconds = 3_000;
const MINIMUM_DURATION: Milliseconds = 300;

const faultKinds: readonly FaultKind[] = [
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

/**
 * Draws the faults of one run, ordered by time; they may overlap. Faults of input are drawn after the
 * others, so that a seed keeps those that it had before there were any.
 */
export default function drawFaults(random: Random, span: Milliseconds): readonly Fault[] {
  const drawKinds = (kinds: readonly FaultKind[], count: number): readonly Fault[] =>
    Array.from({ length: count }, () => ({
      kind: kinds[random.integer(0, kinds.length - 1)]!,
      at: random.integer(0, span),
      target: random.integer(0, 1_000),
      duration: random.integer(MINIMUM_DURATION, MAXIMUM_DURATION),
    }));

  const faults = drawKinds(faultKinds, random.integer(MINIMUM_FAULTS, MAXIMUM_FAULTS));
  const inputFaults = drawKinds(inputFaultKinds, random.integer(0, MAXIMUM_INPUT_FAULTS));
  return [...faults, ...inputFaults].sort((left, right) => left.at - right.at);
}
