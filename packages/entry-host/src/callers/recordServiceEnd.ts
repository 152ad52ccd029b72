import type { Milliseconds, Outcome } from '@rattanreel/core';
import type { EndedRequest } from '@rattanreel/observability';
import type { RecordedAnswer } from '@rattanreel/orders';
import type { CallerServices, ProblemDocument, ServiceJob } from './types';
import outcomeByExecution from './outcomeByExecution';

const FIRST_SERVER_ERROR_STATUS = 500;

/** Distinguishes errors of the caller from refusals for lack of capacity. */
function classifyOutcome(
  result: Outcome<RecordedAnswer, ProblemDocument>,
): EndedRequest['outcome'] {
  if (result.kind === 'ok') {
    return 'answered';
  }
  const { status, execution } = result.error;
  return status < FIRST_SERVER_ERROR_STATUS ? 'rejected' : outcomeByExecution[execution];
}

/** Records the end of a call of a plain service in the metrics and the decision log. */
export default function recordServiceEnd(
  services: CallerServices,
  job: ServiceJob,
  result: Outcome<RecordedAnswer, ProblemDocument>,
  startedAt: Milliseconds,
): void {
  const duration = services.clock.now() - startedAt;
  const outcome = classifyOutcome(result);
  services.metrics.requestEnded({
    tier: job.caller.tier.id,
    pool: job.pool.id,
    outcome,
    duration,
    firstTokenAfter: undefined,
    outputTokens: 0,
    promptTokens: 0,
    cachedTokens: 0,
  });
  services.decisions.record({
    kind: 'routing',
    decision: 'ended',
    request: job.request,
    pool: job.pool.id,
    failureDomain: services.failureDomain,
    tier: job.caller.rank,
    customer: job.caller.customer.id,
    reason: result.kind === 'ok' ? outcome : (result.error.detail ?? result.error.type),
  });
}
