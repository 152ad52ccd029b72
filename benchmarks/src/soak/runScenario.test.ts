import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import createScenarioArbitrary from './createScenarioArbitrary';
import runScenario from './runScenario';
import type { SoakScenario } from './types';

const CI_SEED = 11;
const CI_RUNS = 30;
const MINIMUM_COMPLETED_SHARE = 0.5;

describe(runScenario.name, () => {
  it(`holds the invariants in ${CI_RUNS} random scenarios`, () => {
    const property = fc.property(createScenarioArbitrary(), (scenario) => {
      runScenario(scenario);
    });
    fc.assert(property, { seed: CI_SEED, numRuns: CI_RUNS });
  });

  it('crashes no engine and completes most requests when all engines start cold', () => {
    const scenario = { seed: 5, hosts: 3, engines: 4, arrivalsPerSecond: 20, faults: [] };
    const { arrivals, completed, failed } = runScenario(scenario);
    expect(failed).toEqual(0);
    expect(completed).toBeGreaterThan(arrivals * MINIMUM_COMPLETED_SHARE);
  });

  const regressions: { name: string; scenario: SoakScenario }[] = [
    {
      name: 'refuses no request by estimate while a lower tier is queued at a cold engine',
      scenario: { seed: 0, hosts: 2, engines: 1, arrivalsPerSecond: 5, faults: [] },
    },
    {
      name: 'leaks no slots of an engine that is slowed down while cold',
      scenario: {
        seed: 0,
        hosts: 3,
        engines: 4,
        arrivalsPerSecond: 26,
        faults: [{ kind: 'engineSlows', at: 7, target: 1, duration: 3_994 }],
      },
    },
  ];
  for (const { name, scenario } of regressions) {
    it(name, () => {
      expect(() => runScenario(scenario)).not.toThrow();
    });
  }
});
