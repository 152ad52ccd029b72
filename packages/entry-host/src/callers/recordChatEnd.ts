import type { EndedRequest } from '@rattanreel/observability';
import type { CallerServices, ChatJob, ChatOutcome } from './types';
import outcomeByExecution from './outcomeByExecution';
import createStreamProblem from './createStreamProblem';

function classifyOutcome(job: ChatJob, outcome: ChatOutcome): EndedRequest['outcome'] {
  if (outcome.kind === 'refused') {
    return 'refused';
  }
  if (outcome.kind === 'callerGone' || job.callerConnection.isDisconnected()) {
    return 'callerGone';
  }
  if (outcome.stream.kind === 'completed') {
    return 'answered';
  }
  return outcomeByExecution[
    createStreamProblem(job.grantRequest.request, outcome.stream).execution
  ];
}

/** Records the end of a chat request in the metrics and the decision log. */
export default function recordChatEnd(
  services: CallerServices,
  job: ChatJob,
  outcome: ChatOutcome,
): void {
  const { grantRequest } = job;
  const stream = outcome.kind === 'ended' ? outcome.stream : undefined;
  const requestOutcome = classifyOutcome(job, outcome);
  services.metrics.requestEnded({
    tier: job.tier,
    pool: grantRequest.pool,
    outcome: requestOutcome,
    duration: services.clock.now() - grantRequest.arrivedAt,
    firstTokenAfter: stream?.firstTokenAfter,
    outputTokens: stream?.tokens ?? 0,
    promptTokens: stream?.usage?.promptTokens ?? 0,
    cachedTokens: stream?.usage?.cachedTokens ?? 0,
  });
  services.decisions.record({
    kind: 'routing',
    decision: 'ended',
    request: grantRequest.request,
    pool: grantRequest.pool,
    failureDomain: services.failureDomain,
    tier: grantRequest.tier,
    customer: grantRequest.customer,
    backendServer: outcome.kind === 'ended' ? outcome.heldGrant.grant.backendServer : undefined,
    reason: outcome.kind === 'refused' ? outcome.reason : requestOutcome,
    detail: stream?.error?.kind,
  });
}
