import type { Milliseconds } from '@rattanreel/core';
import isRefusal from './isRefusal';
import type { OrderHistory, Submission } from './types';

/** Violations of the guarantees for one order; all false when every guarantee held. */
interface OrderViolations {
  readonly isBookedTwice: boolean;
  /** A "not run" refusal was false when it was given, or became false later. */
  readonly isFalselyRefused: boolean;
  /**
   * A running host never gave an outcome, an answer came without a booking, or the caller knows no
   * outcome.
   */
  readonly isLost: boolean;
  readonly hasDifferingAnswers: boolean;
}

/** Returns whether a submission can have caused a dispatch at `instant`. */
function canHaveCaused(submission: Submission, instant: Milliseconds): boolean {
  const isOpen = submission.answeredAt === undefined || submission.answeredAt >= instant;
  return submission.at <= instant && (isOpen || submission.outcome?.kind === 'connectionLost');
}

function isFalselyRefused(history: OrderHistory): boolean {
  const { submissions, dispatchedAt } = history;
  const wasFalseWhenGiven = submissions.some(
    (submission) =>
      isRefusal(submission) &&
      dispatchedAt.some((instant) => instant <= (submission.answeredAt ?? Infinity)),
  );
  const hasUncausedDispatch = dispatchedAt.some(
    (instant) => !submissions.some((submission) => canHaveCaused(submission, instant)),
  );
  return wasFalseWhenGiven || hasUncausedDispatch;
}

/** Checks one order's history against the guarantees given to callers. */
export default function checkOrder(history: OrderHistory, bookings: number): OrderViolations {
  const answers = new Set<string>();
  for (const { outcome } of history.submissions) {
    if (outcome?.kind === 'result' && outcome.result.kind === 'ok') {
      answers.add(outcome.result.value.body);
    }
  }
  const isUnanswered = history.submissions.some(({ outcome }) => outcome === undefined);
  return {
    isBookedTwice: bookings > 1,
    isFalselyRefused: isFalselyRefused(history),
    isLost:
      isUnanswered || (answers.size > 0 && bookings === 0) || history.knownOutcome === undefined,
    hasDifferingAnswers: answers.size > 1,
  };
}
