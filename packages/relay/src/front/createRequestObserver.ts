import type { Logger } from '@rattanreel/observability';
import type { AttemptEnd, ServerAccount } from '../types';
import type { RelayMetrics, RequestObserver, RequestPlan } from './types';

/** Successes are logged one in this many; everything else is logged each time. */
const SUCCESS_SAMPLE = 50;

interface RequestObserverOptions {
  readonly logger: Logger;
  readonly metrics: RelayMetrics;
  readonly now: () => number;
}

/** Writes a line for each decision on a request, and counts them. */
export default function createRequestObserver(options: RequestObserverOptions): RequestObserver {
  const { logger, metrics, now } = options;
  let successes = 0;

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
    };
  }

  function isPlain(end: AttemptEnd): boolean {
    return end.kind === 'whole' && end.status < 500;
  }

  return {
    rejected(requestId, rejection) {
      metrics.ended('rejected', rejection.code);
      logger.info({ request: requestId, ...rejection }, 'request rejected');
    },
    refused(plan, reason, retryAfter, pool) {
      metrics.ended('refused', reason);
      logger.info({ ...describe(plan), reason, retryAfter, pool }, 'request refused');
    },
    dispatched(plan, server, attempt, waiting) {
      metrics.dispatched(attempt);
      if (attempt > 1) {
        logger.info(
          { ...describe(plan), ...describeServer(server), attempt, waiting },
          'request dispatched',
        );
      }
    },
    attemptEnded(plan, server, end) {
      if (!isPlain(end)) {
        logger.info({ ...describe(plan), ...describeServer(server), end }, 'attempt failed');
      }
    },
    completed(plan, server, figures) {
      const { end } = figures;
      successes += 1;
      if (successes % SUCCESS_SAMPLE === 0) {
        logger.info(
          {
            ...describe(plan),
            ...describeServer(server),
            promptTokens: plan.promptTokens,
            outputTokens: plan.outputTokens,
            figures,
          },
          'request answered',
        );
      }
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
