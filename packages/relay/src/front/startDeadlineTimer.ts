import type { Clock, Timer } from '@rattanreel/core';
import type { RequestPlan, ResponseRelay } from './types';

interface DeadlineTimerOptions {
  readonly clock: Clock;
  readonly plan: Pick<RequestPlan, 'deadlineAt' | 'latestDeadlineAt'>;
  readonly response: Pick<ResponseRelay, 'isCommitted'>;
  readonly onPassed: () => void;
}

/**
 * Calls back when the deadline of a request has passed. A response of which the caller has a part is
 * cut only when that is certain; a request without one gets an answer, which may come earlier.
 */
export default function startDeadlineTimer(options: DeadlineTimerOptions): Timer {
  const { clock, plan, response, onPassed } = options;
  let timer: Timer;

  function startUntil(at: number, callback: () => void): void {
    timer = clock.after(Math.max(at - clock.now(), 0), callback);
  }

  startUntil(plan.deadlineAt, () => {
    if (response.isCommitted() && clock.now() < plan.latestDeadlineAt) {
      startUntil(plan.latestDeadlineAt, onPassed);
    } else {
      onPassed();
    }
  });
  return { cancel: () => timer.cancel() };
}
