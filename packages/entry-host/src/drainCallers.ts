import type { Clock, Milliseconds } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import { sleep } from '@rattanreel/platform';
import type { CallerListener } from './callers/types';
import type { Admission } from './types';

/** Orchestrators end a process 30 s after its signal; the rest is for orders to be recorded. */
const DEFAULT_GRACE_PERIOD_MS = 24_000;
/** Time for handlers to respond to requests that the end of the grace period has ended. */
const FINAL_ANSWER_TIME_MS = 300;
/** Time for the responses that are sent in place of a handler. */
const CUT_ANSWER_TIME_MS = 100;

interface DrainCallersOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly admission: Pick<Admission, 'stop' | 'waitUntilDrained' | 'expire'>;
  readonly callers: CallerListener;
  /** Time that the requests in hand have; 24 s if undefined. */
  readonly gracePeriod: Milliseconds | undefined;
}

/**
 * Refuses new requests, and those that wait and may outlast the host, and waits for those in hand
 * until their responses have been sent. At the end of the grace period the rest is aborted, and what has no response then gets one that says so.
 */
export default async function drainCallers(options: DrainCallersOptions): Promise<void> {
  const { clock, logger, admission, callers } = options;
  const gracePeriod = options.gracePeriod ?? DEFAULT_GRACE_PERIOD_MS;
  const stoppedAt = clock.now();
  const activeBefore = callers.countActive();
  logger.info({ active: activeBefore }, 'host stopping');
  callers.startDraining();
  admission.stop(stoppedAt + gracePeriod);
  await Promise.race([admission.waitUntilDrained(), sleep(clock, gracePeriod)]);
  await callers.drain(Math.max(stoppedAt + gracePeriod - clock.now(), 0));
  const ended = callers.countActive();
  if (ended > 0) {
    admission.expire();
    await callers.drain(FINAL_ANSWER_TIME_MS);
  }
  const cut = callers.countActive();
  if (cut > 0) {
    callers.cutActive();
    await callers.drain(CUT_ANSWER_TIME_MS);
  }
  const figures = { activeBefore, answered: callers.countAnswered(), ended, cut };
  const duration = Math.round(clock.now() - stoppedAt);
  logger.info({ ...figures, active: callers.countActive(), duration }, 'host stopped');
}
