import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import type { LoopDelay, StopDeadline, TimeCheck, TimedRequest, TimeRefusal } from './types';

/** Time after which the caller of a stopping host may return: it needs only a new connection. */
const STOP_RETRY_DELAY: Milliseconds = 50;

/** A response may take this multiple of the mean of its kind: servers differ in speed. */
const DURATION_MARGIN = 2;

interface TimeCheckOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly loopDelay: Pick<LoopDelay, 'get'>;
  readonly stopDeadline: Pick<StopDeadline, 'tryGetPeriod' | 'isBeforeEnd' | 'watch'>;
  /** Returns the time that a response of this pool and length takes in the mean. */
  readonly getExpectedDuration: (request: TimedRequest) => Milliseconds;
  /** Whether another host grants the slots, so that its answer is awaited too. */
  readonly isScheduledByOther: () => boolean;
}

/**
 * Refuses at once what an overloaded or stopping host could not do in time, so that callers return
 * to another host while they still wait.
 */
export default function createTimeCheck(options: TimeCheckOptions): TimeCheck {
  const { clock, random, loopDelay, stopDeadline } = options;

  /** Returns by when a request must be expected to end that a stopping host sends now. */
  function getLatestEnd(request: TimedRequest, now: Milliseconds): Milliseconds {
    if (request.mayHaveRun) {
      // A refusal could not offer it to another host as not run.
      return now;
    }
    const certainEnd = request.latestDeadlineAt + loopDelay.get();
    if (!request.isAcceptedEarlier) {
      // The mean of earlier responses promises nothing for this one.
      return certainEnd;
    }
    const expected = options.getExpectedDuration(request) + loopDelay.get();
    return Math.min(certainEnd, now + expected * DURATION_MARGIN);
  }

  function tryRefuseDispatch(request: TimedRequest): TimeRefusal | undefined {
    const now = clock.now();
    if (now >= request.deadlineAt) {
      return { reason: 'deadlinePassed' };
    }
    return stopDeadline.isBeforeEnd(getLatestEnd(request, now))
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
    isStopping: () => stopDeadline.tryGetPeriod() !== undefined,
    tryRefuseAdmission: (request) => tryRefuseDispatch(request) ?? tryShed(request),
    tryRefuseDispatch,
    watchStop: stopDeadline.watch,
  };
}
