import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { AttemptEnd } from '../types';
import decideAfterAttempt from './decideAfterAttempt';

interface Case {
  readonly end: AttemptEnd;
  readonly isRepeatable?: boolean;
  readonly isCommitted?: boolean;
  readonly canResume?: boolean;
  readonly hasAttemptsLeft?: boolean;
  readonly hasUnsentLeft?: boolean;
  readonly hasBudget?: boolean;
  readonly next: ReturnType<typeof decideAfterAttempt>;
}

const broken: AttemptEnd = { kind: 'broken', reason: 'reset' };
const silent: AttemptEnd = { kind: 'aborted', reason: 'silent' };
const failure: AttemptEnd = { kind: 'whole', status: 500 };
const full: AttemptEnd = { kind: 'notRun', status: 503 };
const cases: readonly Case[] = [
  { end: { kind: 'whole', status: 200 }, next: 'complete' },
  { end: failure, next: 'complete' },
  { end: failure, isRepeatable: true, next: 'repeat' },
  { end: failure, isRepeatable: true, hasAttemptsLeft: false, next: 'complete' },
  { end: failure, isRepeatable: true, hasBudget: false, next: 'complete' },
  { end: full, next: 'repeatUnsent' },
  { end: full, hasAttemptsLeft: false, next: 'refuse' },
  { end: full, hasBudget: false, next: 'refuse' },
  { end: { kind: 'notConnected' }, hasAttemptsLeft: false, next: 'repeatUnsent' },
  { end: { kind: 'notConnected' }, hasUnsentLeft: false, next: 'refuse' },
  { end: broken, next: 'fail' },
  { end: broken, isRepeatable: true, next: 'repeat' },
  { end: broken, isRepeatable: true, isCommitted: true, next: 'fail' },
  { end: broken, isRepeatable: true, isCommitted: true, canResume: true, next: 'repeat' },
  { end: broken, isRepeatable: true, hasBudget: false, next: 'fail' },
  { end: silent, isRepeatable: true, next: 'repeat' },
  { end: silent, next: 'fail' },
  { end: { kind: 'aborted', reason: 'timeout' }, isRepeatable: true, next: 'fail' },
  { end: { kind: 'aborted', reason: 'callerGone' }, isRepeatable: true, next: 'nothing' },
];

describe('decideAfterAttempt', () => {
  cases.forEach(({ end, next, hasBudget = true, ...given }) => {
    it(`${JSON.stringify({ end, hasBudget, ...given })} -> ${next}`, () => {
      const decided = decideAfterAttempt({
        end,
        isRepeatable: false,
        isCommitted: false,
        canResume: false,
        hasAttemptsLeft: true,
        hasUnsentLeft: true,
        ...given,
        tryRepeat: () => hasBudget,
      });
      expect(decided).toEqual(next);
    });
  });
});
