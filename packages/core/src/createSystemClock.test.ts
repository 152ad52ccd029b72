import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import createSystemClock from './createSystemClock';

const cases = [
  { delay: 2 ** 31 - 1, hasFired: false },
  { delay: 2 ** 31, hasFired: false },
  { delay: 1e300, hasFired: false },
  { delay: Infinity, hasFired: false },
  { delay: 5, hasFired: true },
  { delay: -1, hasFired: true },
];

// Guards against a time limit beyond the range of timers, which would pass at once.
describe('createSystemClock', () => {
  cases.forEach(({ delay, hasFired }) => {
    it(`${hasFired ? 'fires' : 'does not fire'} soon after a delay of ${delay} ms`, async () => {
      let isFired = false;
      const timer = createSystemClock().after(delay, () => {
        isFired = true;
      });
      await sleep(50);
      timer.cancel();
      expect(isFired).toEqual(hasFired);
    });
  });
});
