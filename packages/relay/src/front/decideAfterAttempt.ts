import type { AttemptEnd } from '../types';

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
  readonly end: AttemptEnd;
  readonly isRepeatable: boolean;
  /** Whether the caller has been sent part of the answer. */
  readonly isCommitted: boolean;
  readonly canResume: boolean;
  readonly hasAttemptsLeft: boolean;
  readonly hasUnsentLeft: boolean;
  /** Takes one repeat from the pool's budget. */
  readonly tryRepeat: () => boolean;
}

const HTTP_SERVER_ERROR = 500;

function decideAfterBreak(options: AfterAttemptOptions): NextStep {
  const { isRepeatable, isCommitted, canResume, hasAttemptsLeft } = options;
  const isPossible = isRepeatable && (!isCommitted || canResume) && hasAttemptsLeft;
  return isPossible && options.tryRepeat() ? 'repeat' : 'fail';
}

/** Decides which ends of an attempt allow another one. Only these do; every other end is final. */
export default function decideAfterAttempt(options: AfterAttemptOptions): NextStep {
  const { end, isRepeatable, isCommitted, hasAttemptsLeft } = options;
  switch (end.kind) {
    case 'whole': {
      const isFailure = end.status >= HTTP_SERVER_ERROR && isRepeatable && !isCommitted;
      return isFailure && hasAttemptsLeft && options.tryRepeat() ? 'repeat' : 'complete';
    }
    case 'notRun':
      return hasAttemptsLeft && options.tryRepeat() ? 'repeatUnsent' : 'refuse';
    case 'notConnected':
      return options.hasUnsentLeft ? 'repeatUnsent' : 'refuse';
    case 'broken':
      return decideAfterBreak(options);
    case 'aborted':
      switch (end.reason) {
        case 'callerGone':
          return 'nothing';
        case 'silent':
          return decideAfterBreak(options);
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
