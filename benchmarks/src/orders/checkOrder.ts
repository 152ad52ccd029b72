import type { Milliseconds } from '@rattanreel/core';
import isRefusal from './isRefusal';
import type { OrderHistory, Submission } from './types';

/** What went wrong with one order; all false when every promise held. */
interface OrderViolations {
  readonly isBookedTwice: boolean;
  /** A refusal "not run" was untrue when it was given, or became so. */
  readonly isFalselyRefused: boolean;
  /** No answer ever came from a running host, or an answer without a booking, or no end for the caller. */
  readonly isLost: boolean;
  readonly hasDifferingAnswers: boolean;
}

/** Whether a submission can be the cause of a dispatch at that instant. */
function canHaveCaused(submission: Submission, instant: Milliseconds): boolean {
  const isOpen = submission.answeredAt === undefined || submission.answeredAt >= instant;
  return submission.at <= instant && (isOpen || submission.outcome?.kind === 'connectionLost');
}

function isFalselyRefused(history: OrderHistory): boolean {
  const { submissions, dispatchedAt } = history;
  const isUntrue = submissions.some(
    (submission) =>
      isRefusal(submission) &&
      dispatchedAt.some((instant) => instant <= (submission.answeredAt ?? Infinity)),
  );
  const isUncaused = dispatchedAt.some(
    (instant) => !submissions.some((submission) => canHaveCaused(submission, instant)),
  );
  return isUntrue || isUncaused;
}

/** Judges one order's history by the promises made to callers. */
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
