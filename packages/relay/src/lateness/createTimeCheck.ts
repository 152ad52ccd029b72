import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import type { LoopDelay, StopDeadline, TimeCheck, TimedRequest, TimeRefusal } from './types';

/** Time after which the caller of a stopping host may return: it needs only a new connection. */
const STOP_RETRY_DELAY: Milliseconds = 50;

interface TimeCheckOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly loopDelay: Pick<LoopDelay, 'get'>;
  readonly stopDeadline: Pick<StopDeadline, 'isBeforeEnd' | 'watch'>;
  /** Whether another host grants the slots, so that its answer is awaited too. */
  readonly isScheduledByOther: () => boolean;
}

/**
 * Refuses at once what an overloaded or stopping host could not do in time, so that callers return
 * to another host while they still wait.
 */
export default function createTimeCheck(options: TimeCheckOptions): TimeCheck {
  const { clock, random, loopDelay, stopDeadline } = options;

  function tryRefuseDispatch(request: TimedRequest): TimeRefusal | undefined {
    const now = clock.now();
    if (now >= request.deadlineAt) {
      return { reason: 'deadlinePassed' };
    }
    // The deadline is the only bound: the mean of earlier responses says little about this one. What
    // may have run elsewhere is repeated while the host lives, since a refusal could not offer it again.
    const endsBy = request.mayHaveRun ? now : request.deadlineAt + loopDelay.get();
    return stopDeadline.isBeforeEnd(endsBy)
      ? undefined
      : { reason: 'stopping', retryAfter: STOP_RETRY_DELAY * (1 + random.next()) };
  }

  /** Refuses what would begin after its deadline since each answer waits for the event loop. */
  function tryShed({ deadlineAt }: TimedRequest): TimeRefusal | undefined {
    const delay = loopDelay.get();
    const answers = options.isScheduledByOther() ? 2 : 1;
    return clock.now() + delay * answers < deadlineAt
      ? undefined
      : { reason: 'hostLate', retryAfter: delay * (1 + random.next()) };
  }

  return {
    tryRefuseAdmission: (request) => tryRefuseDispatch(request) ?? tryShed(request),
    tryRefuseDispatch,
    watchStop: stopDeadline.watch,
  };
}
