import { Debug, fail, ok } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { OrderOutcome, OrderResult } from './types';

const DEFAULT_RETRY_AFTER: Milliseconds = 1_000;

/** Returns the result that a caller receives for an order with this outcome. */
export default function toResult(outcome: OrderOutcome): OrderResult {
  switch (outcome.kind) {
    case 'answered':
      return ok(outcome.answer);
    case 'notRun': {
      const retryAfter = outcome.retryAfter ?? DEFAULT_RETRY_AFTER;
      return fail({ kind: 'refused', execution: 'not-run', retryAfter });
    }
    case 'mayHaveRun':
      return fail({ kind: 'dispatchInDoubt', execution: 'may-have-run' });
    default:
      return Debug.assertNever(outcome);
  }
}
