import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { AttemptOutcome } from '../types';
import decideAfterAttempt from './decideAfterAttempt';

interface Case {
  readonly end: AttemptOutcome;
  readonly isRetryable?: boolean;
  readonly isCommitted?: boolean;
  readonly canResume?: boolean;
  readonly hasAttemptsLeft?: boolean;
  readonly hasConnectAttemptsLeft?: boolean;
  readonly hasBudget?: boolean;
  readonly next: ReturnType<typeof decideAfterAttempt>;
}

const broken: AttemptOutcome = { kind: 'broken', reason: 'reset' };
const silent: AttemptOutcome = { kind: 'aborted', reason: 'silent' };
const failure: AttemptOutcome = { kind: 'whole', status: 500 };
const full: AttemptOutcome = { kind: 'notRun', status: 503 };
const cases: readonly Case[] = [
  { end: { kind: 'whole', status: 200 }, next: 'complete' },
  { end: failure, next: 'complete' },
  { end: failure, isRetryable: true, next: 'repeat' },
  { end: failure, isRetryable: true, hasAttemptsLeft: false, next: 'complete' },
  { end: failure, isRetryable: true, hasBudget: false, next: 'complete' },
  { end: full, next: 'repeatUnsent' },
  { end: full, hasAttemptsLeft: false, next: 'refuse' },
  { end: full, hasBudget: false, next: 'refuse' },
  { end: { kind: 'notConnected' }, hasAttemptsLeft: false, next: 'repeatUnsent' },
  { end: { kind: 'notConnected' }, hasConnectAttemptsLeft: false, next: 'refuse' },
  { end: { kind: 'notSent', reason: 'deadlinePassed' }, isRetryable: true, next: 'refuse' },
  { end: { kind: 'notSent', reason: 'callerGone' }, isRetryable: true, next: 'nothing' },
  { end: broken, next: 'fail' },
  { end: broken, isRetryable: true, next: 'repeat' },
  { end: broken, isRetryable: true, isCommitted: true, next: 'fail' },
  { end: broken, isRetryable: true, isCommitted: true, canResume: true, next: 'repeat' },
  { end: broken, isRetryable: true, hasBudget: false, next: 'fail' },
  { end: silent, isRetryable: true, next: 'repeat' },
  { end: silent, next: 'fail' },
  { end: { kind: 'aborted', reason: 'timeout' }, isRetryable: true, next: 'fail' },
  { end: { kind: 'aborted', reason: 'callerGone' }, isRetryable: true, next: 'nothing' },
];

describe('decideAfterAttempt', () => {
  cases.forEach(({ end, next, hasBudget = true, ...given }) => {
    it(`${JSON.stringify({ end, hasBudget, ...given })} -> ${next}`, () => {
      const decided = decideAfterAttempt({
        end,
        isRetryable: false,
        isCommitted: false,
        canResume: false,
        hasAttemptsLeft: true,
        hasConnectAttemptsLeft: true,
        ...given,
        trySpendRetry: () => hasBudget,
      });
      expect(decided).toEqual(next);
    });
  });
});
