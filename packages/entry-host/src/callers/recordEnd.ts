import type { EndedRequest } from '@rattanreel/observability';
import type { CallerServices, ChatJob, ChatOutcome } from './types';
import endedByExecution from './endedByExecution';
import streamProblem from './streamProblem';

function outcomeOf(job: ChatJob, outcome: ChatOutcome): EndedRequest['outcome'] {
  if (outcome.kind === 'refused') {
    return 'refused';
  }
  if (outcome.kind === 'callerGone' || job.caller.isGone()) {
    return 'callerGone';
  }
  if (outcome.stream.kind === 'completed') {
    return 'answered';
  }
  return endedByExecution[streamProblem(job.ask.request, outcome.stream).execution];
}

/** Writes the end of a chat request into the metrics and the decision log. */
export default function recordEnd(
  services: CallerServices,
  job: ChatJob,
  outcome: ChatOutcome,
): void {
  const { ask } = job;
  const stream = outcome.kind === 'ended' ? outcome.stream : undefined;
  const ended = outcomeOf(job, outcome);
  services.metrics.requestEnded({
    tier: job.tier,
    pool: ask.pool,
    outcome: ended,
    duration: services.clock.now() - ask.arrivedAt,
    firstTokenAfter: stream?.firstTokenAfter,
    outputTokens: stream?.tokens ?? 0,
    promptTokens: stream?.usage?.promptTokens ?? 0,
    cachedTokens: stream?.usage?.cachedTokens ?? 0,
  });
  services.decisions.record({
    kind: 'routing',
    decision: 'ended',
    request: ask.request,
    pool: ask.pool,
    failureDomain: services.failureDomain,
    tier: ask.tier,
    customer: ask.customer,
    backendServer: outcome.kind === 'ended' ? outcome.held.grant.backendServer : undefined,
    reason: outcome.kind === 'refused' ? outcome.reason : ended,
    detail: stream?.error?.kind,
  });
}
