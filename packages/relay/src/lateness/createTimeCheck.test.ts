import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom, createVirtualClock } from '@rattanreel/core';
import createStopDeadline from './createStopDeadline';
import createTimeCheck from './createTimeCheck';

const cases = [
  { name: 'a punctual host', delay: 0, timeLeft: 50, isScheduled: true, reason: undefined },
  { name: 'an answer in time', delay: 400, timeLeft: 500, isScheduled: false, reason: undefined },
  { name: 'an answer too late', delay: 500, timeLeft: 500, isScheduled: false, reason: 'hostLate' },
  {
    name: 'two answers too late',
    delay: 400,
    timeLeft: 500,
    isScheduled: true,
    reason: 'hostLate',
  },
  {
    name: 'no time left',
    delay: 0,
    timeLeft: 0,
    isScheduled: false,
    reason: 'deadlinePassed',
  },
];

describe('createTimeCheck', () => {
  cases.forEach(({ name, delay, timeLeft, isScheduled, reason }) => {
    // Guards against keeping what cannot begin in time, and against refusing what can.
    it(`decides on admission: ${name}`, () => {
      const clock = createVirtualClock(1_000);
      const check = createTimeCheck({
        clock,
        random: createRandom(1),
        loopDelay: { get: () => delay },
        stopDeadline: createStopDeadline(),
        getExpectedDuration: () => 0,
        isScheduledByOther: () => isScheduled,
      });
      const deadlineAt = clock.now() + timeLeft;
      const refusal = check.tryRefuseAdmission({
        pool: 'pool',
        outputTokens: 1,
        deadlineAt,
        latestDeadlineAt: deadlineAt,
        mayHaveRun: false,
        isAcceptedEarlier: true,
      });
      expect<string | undefined>(refusal?.reason).toEqual(reason);
      if (refusal?.reason === 'hostLate') {
        expect(refusal.retryAfter!).toBeGreaterThanOrEqual(delay);
      }
    });
  });
});
