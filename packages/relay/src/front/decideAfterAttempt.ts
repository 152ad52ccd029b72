import type { AttemptOutcome } from '../types';

/** The next step of a request after an attempt. */
type NextStep =
  /** The response is complete and is forwarded. */
  | 'complete'
  /** No byte was written, or the server did not run the request: it is queued again. */
  | 'repeatUnsent'
  /** The request may have run and may run again. */
  | 'repeat'
  /** The request has not run and will not run. */
  | 'refuse'
  /** The request may have run and must not run again. */
  | 'fail'
  /** The caller has disconnected. */
  | 'nothing';

interface AfterAttemptOptions {
  readonly end: AttemptOutcome;
  readonly isRetryable: boolean;
  /** Whether part of the response has been sent to the caller. */
  readonly isCommitted: boolean;
  readonly canResume: boolean;
  readonly hasAttemptsLeft: boolean;
  readonly hasConnectAttemptsLeft: boolean;
  /** Takes one retry from the pool's retry budget; false when the budget is exhausted. */
  readonly trySpendRetry: () => boolean;
}

const HTTP_SERVER_ERROR = 500;

function decideAfterFailure(options: AfterAttemptOptions): NextStep {
  const { isRetryable, isCommitted, canResume, hasAttemptsLeft } = options;
  const isAllowed = isRetryable && (!isCommitted || canResume) && hasAttemptsLeft;
  return isAllowed && options.trySpendRetry() ? 'repeat' : 'fail';
}

/**
 * Decides what follows an attempt. Only `repeatUnsent` and `repeat` allow another attempt; every
 * other step is final.
 */
export default function decideAfterAttempt(options: AfterAttemptOptions): NextStep {
  const { end, isRetryable, isCommitted, hasAttemptsLeft } = options;
  switch (end.kind) {
    case 'whole': {
      const isFailure = end.status >= HTTP_SERVER_ERROR && isRetryable && !isCommitted;
      return isFailure && hasAttemptsLeft && options.trySpendRetry() ? 'repeat' : 'complete';
    }
    case 'notSent':
      return end.reason === 'callerGone' ? 'nothing' : 'refuse';
    case 'notRun':
      return hasAttemptsLeft && options.trySpendRetry() ? 'repeatUnsent' : 'refuse';
    case 'notConnected':
      return options.hasConnectAttemptsLeft ? 'repeatUnsent' : 'refuse';
    case 'broken':
      return decideAfterFailure(options);
    case 'aborted':
      switch (end.reason) {
        case 'callerGone':
        case 'superseded':
          return 'nothing';
        case 'silent':
          return decideAfterFailure(options);
        case 'timeout':
        case 'stop':
        case 'quarantined':
          return 'fail';
        default:
          return end satisfies never;
      }
    default:
      return end satisfies never;
  }
}
