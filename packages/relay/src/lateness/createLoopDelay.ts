import type { Clock, Milliseconds, Timer } from '@rattanreel/core';
import createDelayEstimate from './createDelayEstimate';
import isLate from './isLate';
import type { LoopDelay } from './types';

/** Timers of a responsive process run within a few milliseconds. */
const TIMER_TOLERANCE: Milliseconds = 20;
/**
 * Polls after which the events that were pending when a timer ran late have been handled. A second
 * one reads what arrived on connections that the first one accepted.
 */
const TURN_POLLS = 2;
/**
 * Delay from which on a request waits for pending disconnects before it is sent: half of the 500 ms
 * for which a request may reach its server after its caller has gone. Hosts whose processor share is
 * small are late by up to 100 ms all the time, and the wait would add to each of their requests.
 */
const SETTLING_DELAY: Milliseconds = 250;
/** Polls after which a caller's disconnect is reported: its end is read, then its socket is closed. */
const SETTLING_POLLS = 4;

interface LoopDelayOptions {
  readonly clock: Clock;
  /** Calls back after the event loop has polled for events. */
  readonly afterPoll?: (callback: () => void) => void;
  /** Called when the delay becomes high, or no longer is. */
  readonly onChange?: (change: { readonly isHigh: boolean; readonly loopDelay: number }) => void;
}

/** Measures the event loop delay of this host by the timers that it sets in any case. */
export default function createLoopDelay(options: LoopDelayOptions): LoopDelay {
  const { afterPoll = (callback) => setImmediate(callback) } = options;
  const estimate = createDelayEstimate();
  let turnPollsLeft = 0;
  let isHigh = false;

  function get(): Milliseconds {
    return Math.round(estimate.getDelay(options.clock.now()));
  }

  function reportChange(): void {
    const loopDelay = get();
    if (isLate({ loopDelay }) !== isHigh) {
      isHigh = !isHigh;
      options.onChange?.({ isHigh, loopDelay });
    }
  }

  function afterPolls(polls: number, callback: () => void): void {
    afterPoll(() => (polls > 1 ? afterPolls(polls - 1, callback) : callback()));
  }

  function endTurnAfterPolls(): void {
    afterPoll(() => {
      turnPollsLeft -= 1;
      if (turnPollsLeft > 0) {
        endTurnAfterPolls();
      } else {
        estimate.endTurn(options.clock.now());
        reportChange();
      }
    });
  }

  function beginTurn(): void {
    if (estimate.tryBeginTurn(options.clock.now())) {
      turnPollsLeft = TURN_POLLS;
      endTurnAfterPolls();
    }
  }

  function after(delay: Milliseconds, callback: () => void): Timer {
    const dueAt = options.clock.now() + Math.max(delay, 0);
    let isCancelled = false;
    const timer = options.clock.after(delay, () => {
      const now = options.clock.now();
      if (now - dueAt >= TIMER_TOLERANCE) {
        beginTurn();
        estimate.recordLateTimer(now - dueAt, now);
      } else if (!estimate.isTurnLate(now)) {
        if (isHigh) {
          reportChange();
        }
        callback();
        return;
      }
      afterPoll(() => {
        if (!isCancelled) {
          callback();
        }
      });
    });
    return {
      cancel() {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  const clock: Clock = { ...options.clock, after };

  return {
    clock,
    get,
    getArrivalTime() {
      beginTurn();
      const now = clock.now();
      return now - estimate.getArrivalDelay(now);
    },
    recordConnection() {
      beginTurn();
      turnPollsLeft = TURN_POLLS;
    },
    afterPendingEvents(callback, isKnownLate = false) {
      const now = clock.now();
      const delay = Math.max(estimate.getDelay(now), estimate.getArrivalDelay(now));
      if (delay < SETTLING_DELAY && !isKnownLate) {
        callback();
      } else {
        afterPolls(SETTLING_POLLS, callback);
      }
    },
    afterSilence(duration, callback) {
      const startedAt = estimate.getResponsiveTime(clock.now());
      let timer = after(duration, check);

      function check(): void {
        const left = startedAt + duration - estimate.getResponsiveTime(clock.now());
        if (left < 1) {
          callback();
        } else {
          timer = after(left, check);
        }
      }

      return { cancel: () => timer.cancel() };
    },
  };
}
