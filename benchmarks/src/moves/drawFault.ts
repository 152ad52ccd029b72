import type { Random } from '@rattanreel/core';
import type { FaultOnset, FaultSymptom, VersionFault } from './types';

const SYMPTOMS: readonly FaultSymptom[] = ['fails', 'slowFirstToken', 'slowBetweenTokens'];
const ONSETS: readonly FaultOnset[] = ['atOnce', 'later', 'underLoad', 'oneRoute'];
const SEVERITIES: Readonly<Record<FaultSymptom, readonly number[]>> = {
  fails: [0.1, 0.3, 1],
  slowFirstToken: [2, 3, 6],
  slowBetweenTokens: [1.6, 2, 4],
};
const MINIMUM_LATER_ONSET_MILLISECONDS = 120_000;
/** Lies before the end of the bake time at full share of the shortest move. */
const MAXIMUM_LATER_ONSET_MILLISECONDS = 700_000;
const UNDER_LOAD_SHARES: readonly number[] = [0.1, 0.3, 0.9];

/** Draws the fault of a regressed version; `index` cycles through the symptoms and onsets. */
export default function drawFault(index: number, random: Random): VersionFault {
  const symptom = SYMPTOMS[index % SYMPTOMS.length]!;
  const onset = ONSETS[Math.floor(index / SYMPTOMS.length) % ONSETS.length]!;
  const severities = SEVERITIES[symptom];
  return {
    kind: 'bad',
    symptom,
    onset,
    severity: severities[random.integer(0, severities.length - 1)]!,
    after: random.integer(MINIMUM_LATER_ONSET_MILLISECONDS, MAXIMUM_LATER_ONSET_MILLISECONDS),
    fromShare: UNDER_LOAD_SHARES[random.integer(0, UNDER_LOAD_SHARES.length - 1)]!,
  };
}
