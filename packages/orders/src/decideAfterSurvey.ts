import { fail } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { OrderResult, OwnerAnswer } from './types';

interface SurveyResult {
  /** Answers of all other incarnations that may know the order. */
  readonly answers: readonly OwnerAnswer[];
  /**
   * Whether every incarnation that may have run the order was asked and answered in time, and this host has evicted no
   * order that it may have run.
   */
  readonly isComplete: boolean;
  readonly retryAfter: Milliseconds;
}

function isDenial(answer: OwnerAnswer): boolean {
  return answer.kind === 'givenUp' || (answer.kind === 'unknown' && !answer.hasForgotten);
}

/** Returns the result of a keyed order whose claim could not be written. */
export default function decideAfterSurvey(survey: SurveyResult): OrderResult {
  const found = survey.answers.find((answer) => answer.kind === 'result');
  if (found !== undefined) {
    return found.result;
  }
  const isNotRun = survey.isComplete && survey.answers.every(isDenial);
  const execution = isNotRun ? 'not-run' : 'may-have-run';
  return fail({ kind: 'storeUnavailable', execution, retryAfter: survey.retryAfter });
}
