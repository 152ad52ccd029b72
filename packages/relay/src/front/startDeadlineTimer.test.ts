import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock } from '@rattanreel/core';
import startDeadlineTimer from './startDeadlineTimer';

const plan = { deadlineAt: 1_000, latestDeadlineAt: 2_000 };

const cases = [
  { name: 'without a response, at the earliest', commitsAt: undefined, passedAt: 1_000 },
  { name: 'whose response begins after the earliest', commitsAt: 1_500, passedAt: 1_000 },
  { name: 'with a part of its response, when it is certain', commitsAt: 500, passedAt: 2_000 },
  { name: 'that is ended before', commitsAt: 500, cancelledAt: 1_500, passedAt: undefined },
];

describe('startDeadlineTimer', () => {
  cases.forEach(({ name, commitsAt = Infinity, cancelledAt = Infinity, passedAt }) => {
    // Guards against cutting a stream before its caller's deadline, as seen by a late event loop.
    it(`ends a request ${name}`, async () => {
      const clock = createVirtualClock(0);
      let actual: number | undefined;
      const timer = startDeadlineTimer({
        clock,
        plan,
        response: { isCommitted: () => clock.now() >= commitsAt },
        onPassed() {
          actual = clock.now();
        },
      });
      if (cancelledAt < Infinity) {
        clock.after(cancelledAt, timer.cancel);
      }
      await clock.advance(3_000);
      expect(actual).toEqual(passedAt);
    });
  });
});
