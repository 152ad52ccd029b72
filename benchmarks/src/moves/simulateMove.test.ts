import { describe, it } from 'node:test';
import { expect } from 'earl';
import fastCheck from 'fast-check';
import type { OutagePolicy } from '@rattanreel/moves';
import simulateMove from './simulateMove';
import type { FaultOnset, FaultSymptom, MoveScenario, VersionFault } from './types';

const SPAN = 300_000;
const RANDOM_RUNS = 12;
const RANDOM_SEED = 20_261;
/**
 * Limit of the time from the first detection to a zero share, where no failure domain is
 * partitioned.
 */
const MAXIMUM_DETECTION_TO_ZERO_MILLISECONDS = 3_000;

const BASE_SCENARIO: MoveScenario = {
  seed: 3,
  outagePolicy: 'preAuthorised',
  fault: { kind: 'good' },
  failureDomains: 3,
  requestsPerSecond: 20,
  span: SPAN,
  bakeTime: 30_000,
  storeFaults: { lostAnswerShare: 0.1, lateWriteShare: 0.1 },
  outages: [],
  controllerDeaths: [],
  controllerPauses: [],
  guardRestarts: [],
  partitions: [],
  cancelAt: [],
};

function createBadFault(fields: Partial<Extract<VersionFault, { kind: 'bad' }>>): VersionFault {
  const fault = { symptom: 'fails', onset: 'atOnce', severity: 0.5 } as const;
  return { kind: 'bad', ...fault, after: 60_000, fromShare: 0.3, ...fields };
}

describe(simulateMove.name, () => {
  const stepTimes = Array.from({ length: 9 }, (_, index) => 1_000 + (index * SPAN * 0.75) / 8);
  const cases: readonly {
    readonly name: string;
    readonly scenario: Partial<MoveScenario>;
    readonly verdict: string;
  }[] = [
    ...stepTimes.map((at, step) => ({
      name: `controller dies after step ${step}`,
      scenario: { controllerDeaths: [at] },
      verdict: 'done',
    })),
    {
      name: 'paused controller resumes beside its successor',
      scenario: { controllerPauses: [{ at: 40_000, duration: 40_000 }] },
      verdict: 'done',
    },
    {
      name: 'store is down for half the move',
      scenario: { outages: [{ at: 60_000, duration: 150_000 }] },
      verdict: 'done',
    },
    {
      name: 'store is down over the last steps and the deadline',
      scenario: { outages: [{ at: 200_000, duration: 150_000 }] },
      verdict: 'done',
    },
    {
      name: 'bad version while the store is down',
      scenario: {
        fault: createBadFault({ onset: 'later' }),
        outages: [{ at: 50_000, duration: 200_000 }],
      },
      verdict: 'takenBack',
    },
    {
      name: 'bad version on one route',
      scenario: { fault: createBadFault({ onset: 'oneRoute', severity: 1 }) },
      verdict: 'takenBack',
    },
    {
      name: 'bad version under load',
      scenario: {
        fault: createBadFault({ onset: 'underLoad', symptom: 'slowBetweenTokens', severity: 3 }),
      },
      verdict: 'takenBack',
    },
    {
      name: 'operator cancels',
      scenario: { cancelAt: [{ at: 90_000, domain: 1 }] },
      verdict: 'cancelled',
    },
    {
      name: 'operators cancel at two hosts',
      scenario: {
        cancelAt: [
          { at: 90_000, domain: 1 },
          { at: 90_001, domain: 2 },
        ],
      },
      verdict: 'cancelled',
    },
    {
      name: 'guard restarts after it vetoed, while the store is down',
      scenario: {
        fault: createBadFault({ onset: 'later', severity: 1 }),
        outages: [{ at: 50_000, duration: 200_000 }],
        guardRestarts: [
          { at: 130_000, domain: 0 },
          { at: 131_000, domain: 1 },
        ],
      },
      verdict: 'takenBack',
    },
  ];
  for (const { name, scenario, verdict } of cases) {
    it(`reaches the verdict ${verdict}: ${name}`, () => {
      const run = simulateMove({ ...BASE_SCENARIO, ...scenario });
      expect(run.verdict).toEqual(verdict as typeof run.verdict);
      expect(run.observedVerdicts).toEqual([run.verdict]);
      expect(run.roseAfterVeto).toEqual(false);
      expect(run.late).toEqual(false);
    });
  }

  it('keeps its invariants through random faults', () => {
    const instant = fastCheck.integer({ min: 0, max: SPAN });
    const domain = fastCheck.integer({ min: 0, max: BASE_SCENARIO.failureDomains - 1 });
    const duration = fastCheck.constantFrom(2_000, 30_000, 120_000);
    const interval = fastCheck.record({ at: instant, duration });
    const few = { maxLength: 2 };
    const symptom = fastCheck.constantFrom<FaultSymptom>(
      'fails',
      'slowFirstToken',
      'slowBetweenTokens',
    );
    const onset = fastCheck.constantFrom<FaultOnset>('atOnce', 'later', 'underLoad', 'oneRoute');
    const fromShare = fastCheck.constantFrom(0.1, 0.5, 1);
    const badFault = fastCheck
      .record({ symptom, onset, after: instant, fromShare })
      .map((drawn) => createBadFault({ ...drawn, severity: drawn.symptom === 'fails' ? 0.6 : 4 }));
    const fault = fastCheck.oneof(fastCheck.constant<VersionFault>({ kind: 'good' }), badFault);
    const scenarios = fastCheck.record({
      seed: fastCheck.integer({ min: 1, max: 1_000_000 }),
      outagePolicy: fastCheck.constantFrom<OutagePolicy>('hold', 'preAuthorised'),
      fault,
      outages: fastCheck.array(interval, few),
      controllerDeaths: fastCheck.array(instant, few),
      controllerPauses: fastCheck.array(interval, few),
      guardRestarts: fastCheck.array(fastCheck.record({ at: instant, domain }), few),
      partitions: fastCheck.array(fastCheck.record({ at: instant, duration, domain }), few),
      cancelAt: fastCheck.array(fastCheck.record({ at: instant, domain }), { maxLength: 1 }),
    });
    fastCheck.assert(
      fastCheck.property(scenarios, (drawn) => {
        const run = simulateMove({ ...BASE_SCENARIO, ...drawn });
        expect(run.observedVerdicts.length).toBeLessThanOrEqual(1);
        if (drawn.partitions.length === 0) {
          expect(run.roseAfterVeto).toEqual(false);
          expect(run.fromDetectionToZero ?? 0).toBeLessThanOrEqual(
            MAXIMUM_DETECTION_TO_ZERO_MILLISECONDS,
          );
        }
      }),
      { seed: RANDOM_SEED, numRuns: RANDOM_RUNS },
    );
  });
});
