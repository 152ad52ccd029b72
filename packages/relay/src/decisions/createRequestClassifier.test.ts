import { describe, it } from 'node:test';
import { expect } from 'earl';
import createRequestClassifier from './createRequestClassifier';

const DEADLINE = 5_000;

interface ReturningCase {
  readonly name: string;
  /** Time since the last refusal on the route; undefined when there was none. */
  readonly refusedBefore: number | undefined;
  /** Time left to the request, as a fraction of the longest deadline. */
  readonly part: number;
  readonly isReturning: boolean;
}

// Fresh requests have 0.85 to 1 of the route's deadline left, returning ones at most 5/6 of theirs.
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

describe('createRequestClassifier', () => {
  returningCases.forEach(({ name, refusedBefore, part, isReturning }) => {
    it(`tells a returning request from a fresh one: ${name}`, () => {
      const classifier = createRequestClassifier();
      const now = 60_000;
      const request = { route: 'r', outputTokens: 50 };
      classifier.classify({ ...request, deadline: DEADLINE, now: now - 1 });
      if (refusedBefore !== undefined) {
        classifier.recordRefusal('r', now - refusedBefore);
      }
      const classification = classifier.classify({ ...request, deadline: DEADLINE * part, now });
      expect(classification.isReturning).toEqual(isReturning);
    });
  });

  lengthCases.forEach(({ outputTokens, isLong }) => {
    it(`against a mean of 50 tokens, ${outputTokens} are ${isLong ? '' : 'not '}long`, () => {
      const classifier = createRequestClassifier();
      Array.from({ length: 200 }, (_, index) =>
        classifier.classify({ route: 'r', deadline: DEADLINE, outputTokens: 50, now: index }),
      );
      const classification = classifier.classify({
        route: 'r',
        deadline: DEADLINE,
        outputTokens,
        now: 200,
      });
      expect(classification.isLong).toEqual(isLong);
    });
  });

  it('forgets a long deadline that no caller uses any more', () => {
    const classifier = createRequestClassifier();
    const request = { route: 'r', outputTokens: 50 };
    classifier.classify({ ...request, deadline: 10 * DEADLINE, now: 0 });
    classifier.classify({ ...request, deadline: DEADLINE, now: 15_000 });
    classifier.classify({ ...request, deadline: DEADLINE, now: 30_000 });
    classifier.recordRefusal('r', 30_000);
    const classification = classifier.classify({
      ...request,
      deadline: DEADLINE * 0.9,
      now: 30_001,
    });
    expect(classification.isReturning).toEqual(false);
  });

  it('keeps the statistics of retained routes only', () => {
    const classifier = createRequestClassifier();
    const request = { outputTokens: 50, now: 0 };
    ['stays', 'goes'].forEach((route) => {
      classifier.classify({ ...request, route, deadline: DEADLINE });
      classifier.recordRefusal(route, 0);
    });
    classifier.retainRoutes(new Set(['stays']));
    const classification = ['stays', 'goes'].map(
      (route) => classifier.classify({ ...request, route, deadline: DEADLINE / 2 }).isReturning,
    );
    expect(classification).toEqual([true, false]);
  });
});
