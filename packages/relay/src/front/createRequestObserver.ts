import type { Logger } from '@rattanreel/observability';
import type { AttemptEnd, ServerAccount } from '../types';
import type { DecisionBasis, RelayMetrics, RequestObserver, RequestPlan } from './types';

interface RequestObserverOptions {
  readonly logger: Logger;
  readonly metrics: RelayMetrics;
  readonly now: () => number;
  /** What this host's decisions rest on at the moment. */
  readonly getBasis: () => DecisionBasis;
}

/** Writes a line for each decision on a request, within the logger's bound, and counts them. */
export default function createRequestObserver(options: RequestObserverOptions): RequestObserver {
  const { logger, metrics, now, getBasis } = options;

  function describe(plan: RequestPlan): object {
    return {
      request: plan.requestId,
      route: plan.route.name,
      rank: plan.urgency.rank,
      customer: plan.customer?.name,
      left: Math.round(plan.endAt - now()),
    };
  }

  function describeServer(server: ServerAccount): object {
    return {
      server: server.listed.id,
      own: server.own,
      others: server.others,
      slowness: Number(server.slowness.toFixed(2)),
      failures: server.failures,
      avoidedFor: Math.max(Math.round(server.avoidedUntil - now()), 0),
    };
  }

  function isPlain(end: AttemptEnd): boolean {
    return end.kind === 'whole' && end.status < 500;
  }

  return {
    rejected(requestId, rejection) {
      metrics.ended('rejected', rejection.code);
      logger.info({ request: requestId, ...rejection, basis: getBasis() }, 'request rejected');
    },
    refused(plan, reason, retryAfter, pool) {
      metrics.ended('refused', reason);
      logger.info(
        { ...describe(plan), reason, retryAfter, pool, basis: getBasis() },
        'request refused',
      );
    },
    dispatched(plan, server, attempt, waiting) {
      metrics.dispatched(attempt);
      logger.info(
        { ...describe(plan), ...describeServer(server), attempt, waiting, basis: getBasis() },
        'request dispatched',
      );
    },
    attemptEnded(plan, server, end) {
      if (!isPlain(end)) {
        logger.info({ ...describe(plan), ...describeServer(server), end }, 'attempt failed');
      }
    },
    completed(plan, server, figures) {
      const { end } = figures;
      logger.info(
        {
          ...describe(plan),
          server: server.listed.id,
          promptTokens: plan.promptTokens,
          outputTokens: plan.outputTokens,
          figures,
        },
        'request answered',
      );
      metrics.ended('answered', end.kind === 'whole' && end.status >= 500 ? 'failure' : 'success');
      metrics.answered(plan, now());
    },
    failed(plan, status, code) {
      metrics.ended('failed', code);
      logger.warn({ ...describe(plan), status, code }, 'request failed');
    },
    brokenOff(plan, reason) {
      metrics.ended('brokenOff', reason);
      logger.warn({ ...describe(plan), reason }, 'answer broken off');
    },
    callerGone(plan) {
      metrics.ended('callerGone', 'callerGone');
      logger.info(describe(plan), 'caller gone');
    },
  };
}
