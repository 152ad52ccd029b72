import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import createScenarioArbitrary from './createScenarioArbitrary';
import runScenario from './runScenario';
import type { SoakScenario } from './types';

const CI_SEED = 11;
const CI_RUNS = 30;

describe(runScenario.name, () => {
  it(`holds the invariants in ${CI_RUNS} random scenarios`, () => {
    const property = fc.property(createScenarioArbitrary(), (scenario) => {
      runScenario(scenario);
    });
    fc.assert(property, { seed: CI_SEED, numRuns: CI_RUNS });
  });

  const found: { name: string; scenario: SoakScenario }[] = [];
  for (const { name, scenario } of found) {
    it(name, () => {
      expect(() => runScenario(scenario)).not.toThrow();
    });
  }
});
