import type { Clock, Milliseconds } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import type { Logger } from '@rattanreel/observability';
import type { StopDeadline } from '../lateness/types';
import type { CallerEndpoint } from './types';

/**
 * Time after the stop signal for which connections are still accepted, if the grace period is long
 * enough: the load balancer removes a host only after two failed readiness checks.
 */
const ACCEPT_DURATION_AFTER_STOP: Milliseconds = 2_600;
/** Part of the grace period reserved for closing the process. */
const SHUTDOWN_MARGIN: Milliseconds = 700;
const DRAIN_CHECK_INTERVAL: Milliseconds = 50;
/** Part of the margin in which requests that were not answered are ended with a response. */
const FINAL_ANSWER_TIME: Milliseconds = 200;

interface DrainEndpointOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly endpoint: CallerEndpoint;
  readonly stopDeadline: Pick<StopDeadline, 'begin' | 'expire'>;
  /** Time from the stop signal within which the process must have ended. */
  readonly gracePeriod: Milliseconds;
}

/**
 * Drains an endpoint without aborting requests: accepts connections until the load balancer has
 * removed this host, then closes connections as they become idle. Requests that would not be answered
 * within the grace period are refused when they arrive. Resolves when no request is
 * active or the grace period is nearly over.
 */
export default async function drainCallerEndpoint(options: DrainEndpointOptions): Promise<void> {
  const { clock, logger, endpoint, stopDeadline } = options;
  const stoppedAt = clock.now();
  const endsAt = stoppedAt + options.gracePeriod - SHUTDOWN_MARGIN;

  /**
   * Returns whether no request is active. Closes idle connections on each call: a response whose
   * headers were sent before the stop leaves its connection open.
   */
  function closeIdleConnections(): boolean {
    endpoint.stopAccepting();
    return endpoint.countActive() === 0;
  }

  const activeBefore = endpoint.countActive();
  logger.info({ active: activeBefore }, 'host stopping');
  endpoint.startDraining();
  stopDeadline.begin({ startedAt: stoppedAt, endsAt });
  const acceptsUntil = Math.min(stoppedAt + ACCEPT_DURATION_AFTER_STOP, endsAt);
  await sleep(clock, Math.max(acceptsUntil - clock.now(), 0));
  while (!closeIdleConnections() && clock.now() < endsAt) {
    await sleep(clock, DRAIN_CHECK_INTERVAL);
  }
  const ended = endpoint.countActive();
  if (ended > 0) {
    stopDeadline.expire();
    endpoint.refuseArriving();
    await sleep(clock, FINAL_ANSWER_TIME);
  }
  logger.info(
    {
      activeBefore,
      answered: endpoint.countAnswered(),
      ended,
      active: endpoint.countActive(),
      duration: Math.round(clock.now() - stoppedAt),
    },
    'host stopped',
  );
}
