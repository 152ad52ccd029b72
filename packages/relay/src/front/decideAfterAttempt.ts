import type { AttemptOutcome } from '../types';

/** What happens to a request after an attempt. */
type NextStep =
  /** The answer is whole and is passed on. */
  | 'complete'
  /** No byte was written, or the server said that it did not run: the request waits again. */
  | 'repeatUnsent'
  /** It may have run and may run again. */
  | 'repeat'
  /** It has not run and never will. */
  | 'refuse'
  /** It may have run. */
  | 'fail'
  /** The caller has gone. */
  | 'nothing';

interface AfterAttemptOptions {
  readonly end: AttemptOutcome;
  readonly isRetryable: boolean;
  /** Whether the caller has been sent part of the answer. */
  readonly isCommitted: boolean;
  readonly canResume: boolean;
  readonly hasAttemptsLeft: boolean;
  readonly hasConnectAttemptsLeft: boolean;
  /** Takes one repeat from the pool's budget. */
  readonly trySpendRetry: () => boolean;
}

const HTTP_SERVER_ERROR = 500;

function decideAfterFailure(options: AfterAttemptOptions): NextStep {
  const { isRetryable, isCommitted, canResume, hasAttemptsLeft } = options;
  const isAllowed = isRetryable && (!isCommitted || canResume) && hasAttemptsLeft;
  return isAllowed && options.trySpendRetry() ? 'repeat' : 'fail';
}

/** Decides which ends of an attempt allow another one. Only these do; every other end is final. */
export default function decideAfterAttempt(options: AfterAttemptOptions): NextStep {
  const { end, isRetryable, isCommitted, hasAttemptsLeft } = options;
  switch (end.kind) {
    case 'whole': {
      const isFailure = end.status >= HTTP_SERVER_ERROR && isRetryable && !isCommitted;
      return isFailure && hasAttemptsLeft && options.trySpendRetry() ? 'repeat' : 'complete';
    }
    case 'notRun':
      return hasAttemptsLeft && options.trySpendRetry() ? 'repeatUnsent' : 'refuse';
    case 'notConnected':
      return options.hasConnectAttemptsLeft ? 'repeatUnsent' : 'refuse';
    case 'broken':
      return decideAfterFailure(options);
    case 'aborted':
      switch (end.reason) {
        case 'callerGone':
          return 'nothing';
        case 'silent':
          return decideAfterFailure(options);
        case 'timeout':
        case 'stop':
          return 'fail';
        default:
          return end satisfies never;
      }
    default:
      return end satisfies never;
  }
}
