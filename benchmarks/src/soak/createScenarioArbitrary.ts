import fc from 'fast-check';
import type { SoakFault, SoakScenario } from './types';

const LAST_FAULT_MILLISECONDS = 18_000;
const MAXIMUM_FAULT_MILLISECONDS = 4_000;
const MAXIMUM_FAULTS = 8;
const MAXIMUM_SEED = 1_000_000;
const FAULT_KINDS: readonly SoakFault['kind'][] = [
  'hostDies',
  'hostPauses',
  'schedulerDies',
  'schedulerPauses',
  'engineTurnsCold',
  'engineRestarts',
  'engineSlows',
  'engineFails',
  'engineSilent',
  'engineDrained',
  'engineLeaves',
  'domainDrained',
  'burst',
  'badNetwork',
];

/** Creates an arbitrary of scenarios with up to eight faults, which may overlap and repeat. */
export default function createScenarioArbitrary(): fc.Arbitrary<SoakScenario> {
  const fault = fc.record({
    kind: fc.constantFrom(...FAULT_KINDS),
    at: fc.integer({ min: 0, max: LAST_FAULT_MILLISECONDS }),
    target: fc.nat(9),
    duration: fc.integer({ min: 50, max: MAXIMUM_FAULT_MILLISECONDS }),
  });
  return fc.record({
    seed: fc.nat(MAXIMUM_SEED),
    hosts: fc.integer({ min: 2, max: 4 }),
    engines: fc.integer({ min: 1, max: 6 }),
    arrivalsPerSecond: fc.integer({ min: 5, max: 80 }),
    faults: fc.array(fault, { maxLength: MAXIMUM_FAULTS }),
  });
}
