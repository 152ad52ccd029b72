import type { Milliseconds, Random } from '@rattanreel/core';
import type { Fault, FaultKind } from './types';

const MINIMUM_FAULTS = 3;
const MAXIMUM_FAULTS = 9;
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

/** Draws the faults of one run, ordered by time; they may overlap. */
export default function drawFaults(random: Random, span: Milliseconds): readonly Fault[] {
  const count = random.integer(MINIMUM_FAULTS, MAXIMUM_FAULTS);
  return Array.from({ length: count }, () => ({
    kind: faultKinds[random.integer(0, faultKinds.length - 1)]!,
    at: random.integer(0, span),
    target: random.integer(0, 1_000),
    duration: random.integer(MINIMUM_DURATION, MAXIMUM_DURATION),
  })).sort((left, right) => left.at - right.at);
}
