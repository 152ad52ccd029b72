import type { Milliseconds, Random } from '@rattanreel/core';
import type { Fault, FaultKind } from './types';

const FEWEST = 3;
const MOST = 9;
const LONGEST: Milliseconds = 3_000;
const SHORTEST: Milliseconds = 300;

const kinds: readonly FaultKind[] = [
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

/** Faults of one run, in order of time; they come in series and overlap. */
export default function drawFaults(random: Random, span: Milliseconds): readonly Fault[] {
  const count = random.integer(FEWEST, MOST);
  return Array.from({ length: count }, () => ({
    kind: kinds[random.integer(0, kinds.length - 1)]!,
    at: random.integer(0, span),
    target: random.integer(0, 1_000),
    duration: random.integer(SHORTEST, LONGEST),
  })).sort((left, right) => left.at - right.at);
}
