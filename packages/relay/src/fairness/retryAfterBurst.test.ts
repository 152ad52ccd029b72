import { describe, it } from 'node:test';
import { expect } from 'earl';
import playBurst from '../testing/playBurst';

const MINIMUM_SERVED = 0.95;
const MINIMUM_LATER_IN_TIME = 0.95;
/** A second wave would be as large as the burst. */
const MAXIMUM_SECOND_WAVE = 1;

const cases = [
  { name: '3 hosts', hosts: 3, domains: 3, serversPerDomain: 4 },
  { name: '16 hosts', hosts: 16, domains: 4, serversPerDomain: 4 },
];

describe('the callers that a burst leaves refused', () => {
  cases.forEach(({ name, ...size }) => {
    // Guards against refused callers that return together, or are refused again.
    it(`return over time and are served better than at random times: ${name}`, async () => {
      for (const seed of [5, 6]) {
        const before = await playBurst({ ...size, seed, hasCustomers: false });
        const after = await playBurst({ ...size, seed, hasCustomers: true });
        expect(after.secondWave).toBeLessThan(MAXIMUM_SECOND_WAVE);
        expect(after.laterInTime).toBeGreaterThanOrEqual(MINIMUM_LATER_IN_TIME);
        expect(after.served).toBeGreaterThanOrEqual(MINIMUM_SERVED);
        expect(after.served).toBeGreaterThanOrEqual(before.served);
        expect(after.worth).toBeGreaterThanOrEqual(before.worth);
      }
    });
  });
});
