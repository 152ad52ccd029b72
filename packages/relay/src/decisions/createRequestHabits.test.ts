import { describe, it } from 'node:test';
import { expect } from 'earl';
import createRequestHabits from './createRequestHabits';

const DEADLINE = 5_000;

interface ReturningCase {
  readonly name: string;
  /** Time since the last refusal on the route; undefined when there was none. */
  readonly refusedBefore: number | undefined;
  /** Part of the longest deadline that the request still has. */
  readonly part: number;
  readonly isReturning: boolean;
}

// Callers here ask with 0.85 to 1 of the route's deadline, and come back with at most 5/6 of theirs.
const returningCases: readonly ReturningCase[] = [
  { name: 'the longest deadline', refusedBefore: 100, part: 1, isReturning: false },
  { name: 'an impatient fresh caller', refusedBefore: 100, part: 0.85, isReturning: false },
  { name: 'back after a sixth', refusedBefore: 900, part: 5 / 6 - 0.01, isReturning: true },
  { name: 'back after a third', refusedBefore: 1_700, part: 0.6, isReturning: true },
  { name: 'little time, none refused', refusedBefore: undefined, part: 0.6, isReturning: false },
  { name: 'little time, refused long ago', refusedBefore: 6_000, part: 0.6, isReturning: false },
];

interface LengthCase {
  readonly outputTokens: number;
  readonly isLong: boolean;
}

const lengthCases: readonly LengthCase[] = [
  { outputTokens: 5, isLong: false },
  { outputTokens: 50, isLong: false },
  { outputTokens: 74, isLong: false },
  { outputTokens: 80, isLong: true },
  { outputTokens: 500, isLong: true },
];

describe('createRequestHabits', () => {
  returningCases.forEach(({ name, refusedBefore, part, isReturning }) => {
    it(`tells a returning request from a fresh one: ${name}`, () => {
      const habits = createRequestHabits();
      const now = 60_000;
      const request = { route: 'r', outputTokens: 50 };
      habits.judge({ ...request, deadline: DEADLINE, now: now - 1 });
      if (refusedBefore !== undefined) {
        habits.noteRefused('r', now - refusedBefore);
      }
      const judged = habits.judge({ ...request, deadline: DEADLINE * part, now });
      expect(judged.isReturning).toEqual(isReturning);
    });
  });

  lengthCases.forEach(({ outputTokens, isLong }) => {
    it(`against a mean of 50 tokens, ${outputTokens} are ${isLong ? '' : 'not '}long`, () => {
      const habits = createRequestHabits();
      Array.from({ length: 200 }, (_, index) =>
        habits.judge({ route: 'r', deadline: DEADLINE, outputTokens: 50, now: index }),
      );
      const judged = habits.judge({ route: 'r', deadline: DEADLINE, outputTokens, now: 200 });
      expect(judged.isLong).toEqual(isLong);
    });
  });

  it('forgets a long deadline that no caller asks for any more', () => {
    const habits = createRequestHabits();
    const request = { route: 'r', outputTokens: 50 };
    habits.judge({ ...request, deadline: 10 * DEADLINE, now: 0 });
    habits.judge({ ...request, deadline: DEADLINE, now: 15_000 });
    habits.judge({ ...request, deadline: DEADLINE, now: 30_000 });
    habits.noteRefused('r', 30_000);
    const judged = habits.judge({ ...request, deadline: DEADLINE * 0.9, now: 30_001 });
    expect(judged.isReturning).toEqual(false);
  });

  it('keeps what it learnt of the routes that stay, and of no other', () => {
    const habits = createRequestHabits();
    const request = { outputTokens: 50, now: 0 };
    ['stays', 'goes'].forEach((route) => {
      habits.judge({ ...request, route, deadline: DEADLINE });
      habits.noteRefused(route, 0);
    });
    habits.keepOnly(new Set(['stays']));
    const judged = ['stays', 'goes'].map(
      (route) => habits.judge({ ...request, route, deadline: DEADLINE / 2 }).isReturning,
    );
    expect(judged).toEqual([true, false]);
  });
});
