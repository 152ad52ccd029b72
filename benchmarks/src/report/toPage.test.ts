import { describe, it } from 'node:test';
import { expect } from 'earl';
import toGoodputSection from './toGoodputSection';
import toPage from './toPage';

const result = {
  goodputByTier: [9, 0],
  offeredByTier: [10, 0],
  wastedPrefillShare: 0.1,
  goodputBackAfterSeconds: null,
};
const page = toPage([
  toGoodputSection({
    seed: 11,
    quick: true,
    scenarios: [{ name: 'burst', deployment: 'small', policies: { rattanreel: result } }],
  }),
]);

const cases = [
  {
    name: 'plots goodput, wasted prefill and a recovery time that is missing',
    pattern: /<svg/g,
    count: 3,
  },
  { name: 'contains no scripts', pattern: /<script/g, count: 0 },
  { name: 'lists what is not recorded', pattern: /goodput over time/g, count: 1 },
];

describe('toPage', () => {
  cases.forEach(({ name, pattern, count }) => {
    it(name, () => {
      expect([...page.matchAll(pattern)].length).toEqual(count);
    });
  });
});
