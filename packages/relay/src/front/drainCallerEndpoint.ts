import type { Clock, Milliseconds } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import type { Logger } from '@rattanreel/observability';
import type { CallerEndpoint } from './types';

/** Time after the stop signal for which connections are accepted: the balancer needs two missed answers. */
const ACCEPT_DURATION_AFTER_STOP: Milliseconds = 2_600;
/** Left of the grace at the end for the process to close. */
const SHUTDOWN_MARGIN: Milliseconds = 700;
const DRAIN_CHECK_INTERVAL: Milliseconds = 50;

interface DrainEndpointOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly endpoint: CallerEndpoint;
  /** Time from the stop signal within which the process must have ended. */
  readonly gracePeriod: Milliseconds;
}

/**
 * Stops a front without cutting a request: accepts until the balancer has looked away, then closes
 * connections as they fall idle, and resolves when nothing is in hand or the grace is nearly over.
 */
export default async function drainCallerEndpoint(options: DrainEndpointOptions): Promise<void> {
  const { clock, logger, endpoint } = options;
  const stoppedAt = clock.now();

  /** Closes connections that a last answer, whose head went out before the stop, has left open. */
  function isIdle(): boolean {
    endpoint.stopAccepting();
    return endpoint.countActive() === 0;
  }

  logger.info({ active: endpoint.countActive() }, 'host stopping');
  endpoint.startDraining();
  await sleep(clock, ACCEPT_DURATION_AFTER_STOP);
  while (!isIdle() && clock.now() < stoppedAt + options.gracePeriod - SHUTDOWN_MARGIN) {
    await sleep(clock, DRAIN_CHECK_INTERVAL);
  }
  logger.info({ active: endpoint.countActive() }, 'host stopped');
}
