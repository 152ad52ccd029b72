import type { Clock, Milliseconds } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import type { Logger } from '@rattanreel/observability';
import type { RelayFront } from './types';

/** Time after the stop signal for which connections are accepted: the balancer needs two missed answers. */
const ACCEPT_AFTER_STOP: Milliseconds = 2_600;
/** Left of the grace at the end for the process to close. */
const STOP_MARGIN: Milliseconds = 700;
const STOP_LOOK_INTERVAL: Milliseconds = 50;

interface DrainFrontOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly front: RelayFront;
  /** Time from the stop signal within which the process must have ended. */
  readonly grace: Milliseconds;
}

/**
 * Stops a front without cutting a request: accepts until the balancer has looked away, then closes
 * connections as they fall idle, and resolves when nothing is in hand or the grace is nearly over.
 */
export default async function drainFront(options: DrainFrontOptions): Promise<void> {
  const { clock, logger, front } = options;
  const stoppedAt = clock.now();

  /** Closes connections that a last answer, whose head went out before the stop, has left open. */
  function hasEnded(): boolean {
    front.stopAccepting();
    return front.countActive() === 0;
  }

  logger.info({ active: front.countActive() }, 'host stopping');
  front.startDraining();
  await sleep(clock, ACCEPT_AFTER_STOP);
  while (!hasEnded() && clock.now() < stoppedAt + options.grace - STOP_MARGIN) {
    await sleep(clock, STOP_LOOK_INTERVAL);
  }
  logger.info({ active: front.countActive() }, 'host stopped');
}
