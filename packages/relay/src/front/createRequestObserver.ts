import type { Logger } from '@rattanreel/observability';
import type { StopDeadline } from '../lateness/types';
import type { AttemptOutcome } from '../types';
import type { DecisionBasis, RelayMetrics, RequestObserver, RequestPlan } from './types';

interface RequestObserverOptions {
  readonly logger: Logger;
  readonly metrics: RelayMetrics;
  readonly now: () => number;
  /** Absent where a host never stops. */
  readonly stopDeadline?: Pick<StopDeadline, 'tryGetPeriod'>;
  /** Returns the state that this host's decisions are currently based on. */
  readonly getBasis: () => DecisionBasis;
}

/** Logs each decision on a request, within the limits of the logger, and updates the metrics. */
export default function createRequestObserver(options: RequestObserverOptions): RequestObserver {
  const { logger, metrics, now, getBasis } = options;

  /** Returns the times of a stop from which it follows whether a request was accepted before it. */
  function describeStop({ arrivedAt }: RequestPlan): object {
    const period = options.stopDeadline?.tryGetPeriod();
    return period === undefined
      ? {}
      : {
          stop: {
            arrived: Math.round(arrivedAt - period.startedAt),
            since: Math.round(now() - period.startedAt),
            left: Math.round(period.endsAt - now()),
          },
        };
  }

  function countIfEndedByStop({ arrivedAt }: RequestPlan, reason: string): void {
    const period = options.stopDeadline?.tryGetPeriod();
    if (reason === 'stopping' && period !== undefined) {
      metrics.countEndedByStop(arrivedAt < period.startedAt ? 'beforeSignal' : 'afterSignal');
    }
  }

  function describe(plan: RequestPlan): object {
    return {
      request: plan.requestId,
      route: plan.route.name,
      rank: plan.priority.rank,
      customer: plan.customer?.name,
      left: Math.round(plan.deadlineAt - now()),
      ...describeStop(plan),
    };
  }

  function isSuccessful(end: AttemptOutcome): boolean {
    return end.kind === 'whole' && end.status < 500;
  }

  return {
    rejected(requestId, rejection) {
      metrics.countRequest('rejected', rejection.code);
      logger.info({ request: requestId, ...rejection, basis: getBasis() }, 'request rejected');
    },
    refused(plan, reason, retryAfter, figures) {
      metrics.countRequest('refused', reason);
      logger.info(
        { ...describe(plan), reason, retryAfter, ...figures, basis: getBasis() },
        'request refused',
      );
    },
    dispatched(plan, server, view, attempt) {
      metrics.countAttempt(attempt);
      logger.info(
        {
          ...describe(plan),
          promptParts: plan.promptParts,
          content: plan.contentId,
          server,
          ...view,
          attempt,
          basis: getBasis(),
        },
        'request dispatched',
      );
    },
    hedged(plan, server, delay) {
      logger.info({ ...describe(plan), server, delay: Math.round(delay) }, 'request hedged');
    },
    hedgeSkipped(plan, reason, delay) {
      logger.info({ ...describe(plan), reason, delay: Math.round(delay) }, 'request not hedged');
    },
    attemptEnded(plan, server, { end, duration, firstDataAfter }) {
      if (end.kind === 'notSent') {
        metrics.countUnsent(end.reason);
      }
      if (!isSuccessful(end)) {
        const { promptParts, contentId: content } = plan;
        logger.info(
          { ...describe(plan), server, promptParts, content, duration, firstDataAfter, end },
          'attempt failed',
        );
      }
    },
    completed(plan, server, figures) {
      const { end } = figures;
      logger.info(
        {
          ...describe(plan),
          server,
          promptTokens: plan.promptTokens,
          outputTokens: plan.outputTokens,
          figures,
        },
        'request answered',
      );
      metrics.countRequest(
        'answered',
        end.kind === 'whole' && end.status >= 500 ? 'failure' : 'success',
      );
      metrics.observeDuration(plan, now());
    },
    failed(plan, status, code) {
      metrics.countRequest('failed', code);
      countIfEndedByStop(plan, code);
      logger.warn({ ...describe(plan), status, code }, 'request failed');
    },
    brokenOff(plan, reason) {
      metrics.countRequest('brokenOff', reason);
      countIfEndedByStop(plan, reason);
      logger.warn({ ...describe(plan), reason }, 'answer broken off');
    },
    callerGone(plan) {
      metrics.countRequest('callerGone', 'callerGone');
      logger.info(describe(plan), 'caller gone');
    },
  };
}
