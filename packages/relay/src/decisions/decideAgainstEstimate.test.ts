import { describe, it } from 'node:test';
import { expect } from 'earl';
import decideAgainstEstimate from './decideAgainstEstimate';
import type { EstimateOverride } from './types';

const IDLE = {
  waiting: 0,
  places: 24,
  taken: 0,
  ownInFlight: 0,
  isFresh: true,
  isInTime: true,
  isInTimeByAge: true,
  isRepeatable: false,
  mayTry: true,
};
const NO_TIME = { ...IDLE, isInTime: false, isInTimeByAge: false };
const BUSY = { waiting: 3, taken: 24, ownInFlight: 24 };

describe('a request that an estimate would refuse', () => {
  const cases: readonly (readonly [string, Partial<typeof IDLE>, EstimateOverride])[] = [
    ['idle pool', IDLE, 'serveLate'],
    ["places taken by other hosts' work", { taken: 6 }, 'serveLate'],
    ['half of the places taken', { taken: 12, ownInFlight: 12 }, 'refuse'],
    ['half of the places taken by others', { taken: 12 }, 'tryOut'],
    ['overload', BUSY, 'refuse'],
    ['overload without a recent sample', { ...BUSY, isFresh: false }, 'tryOut'],
    ['no time, may run again', { ...NO_TIME, isRepeatable: true }, 'tryOut'],
    ['no time, may run once', NO_TIME, 'refuse'],
    ['no time by an old estimate, may run once', { ...NO_TIME, isInTimeByAge: true }, 'tryOut'],
    ['a trial under way', { ...NO_TIME, isRepeatable: true, mayTry: false }, 'refuse'],
  ];
  cases.forEach(([name, change, expected]) => {
    it(`${name}: ${expected}`, () => {
      expect(decideAgainstEstimate({ ...IDLE, ...change })).toEqual(expected);
    });
  });
});
