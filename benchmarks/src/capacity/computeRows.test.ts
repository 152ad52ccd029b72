import { describe, it } from 'node:test';
import { expect } from 'earl';
import computeRows from './computeRows';
import getCapacityTarget from './getCapacityTarget';
import type { CapacityMeasurements, CapacityRole } from './types';

const target = getCapacityTarget();
const cases: readonly {
  readonly role: CapacityRole;
  readonly measured: CapacityMeasurements;
  readonly processor: string;
}[] = [
  {
    role: 'entry host',
    measured: { busyMillisecondsPerRequest: 1.8, busyMicrosecondsPerToken: 18 },
    processor: '6.9 % of a core (data path, outside the budget)',
  },
  {
    role: 'entry host',
    measured: { busyMillisecondsPerRequest: 1.8 },
    processor: 'not measured (data path, outside the budget)',
  },
  {
    role: 'pool scheduler',
    measured: { grantMicroseconds: 90, requestMicroseconds: 10 },
    processor: '0.0778 % of a core; 2.33 % where one pool takes all requests of its domain',
  },
];

describe('computeRows', () => {
  cases.forEach(({ role, measured, processor }, index) => {
    it(`computes the processor time of the ${role}, case ${index}`, () => {
      const row = computeRows(target, measured).find((each) => each.role === role);
      expect(row?.processor).toEqual(processor);
    });
  });
});
