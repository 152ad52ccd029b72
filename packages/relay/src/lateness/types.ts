/** Types of a host's event loop delay, and of what follows from it for requests and peers. */
import type { Clock, Milliseconds, PoolId, Timer } from '@rattanreel/core';
import type { RefusalReason } from '../types';

/** Estimates the event loop delay from the lateness of timers. */
export interface DelayEstimate {
  /** Begins a turn of the event loop, unless one has begun; returns whether it did. */
  tryBeginTurn(now: Milliseconds): boolean;
  /** Records a late timer; it belongs to the current turn. */
  recordLateTimer(lateness: Milliseconds, now: Milliseconds): void;
  /** Whether events had to wait in the current turn. */
  isTurnLate(now: Milliseconds): boolean;
  endTurn(now: Milliseconds): void;
  /** Returns a time that stands still while the event loop is late. */
  getResponsiveTime(now: Milliseconds): Milliseconds;
  /** Returns the delay that the next events are expected to meet. */
  getDelay(now: Milliseconds): Milliseconds;
  /** Returns how long the bytes that are handled now have probably waited. */
  getArrivalDelay(now: Milliseconds): Milliseconds;
}

/** The event loop delay of this host. */
export interface LoopDelay {
  /**
   * Clock whose timers reveal the delay. A timer that runs late calls back after the events that
   * were pending, so that a response which has arrived is not mistaken for silence.
   */
  readonly clock: Clock;
  get(): Milliseconds;
  /** Returns the estimated time at which the bytes that are handled now arrived. */
  getArrivalTime(): Milliseconds;
  /**
   * Calls back once pending events have been handled: at once unless the event loop is late, as far
   * as known here or to the caller.
   */
  afterPendingEvents(callback: () => void, isKnownLate?: boolean): void;
  /** Records that a connection was accepted; others may still wait, one for each poll. */
  recordConnection(): void;
  /**
   * Calls back after a time in which something that this host waits for has not happened. The time
   * stands still while the event loop is late: this host has not listened then.
   */
  afterSilence(duration: Milliseconds, callback: () => void): Timer;
}

/** A request as far as the check of its time needs it. */
export interface TimedRequest {
  readonly pool: PoolId;
  readonly outputTokens: number;
  readonly deadlineAt: Milliseconds;
  /** The request has its final answer by then, whatever its server does. */
  readonly latestDeadlineAt: Milliseconds;
  /** Whether an attempt may have run, so that no other host can be offered the request as not run. */
  readonly mayHaveRun: boolean;
  /** Whether it had arrived whole before the signal that stops this host, if there was one. */
  readonly isAcceptedEarlier: boolean;
}

/** Why a request is refused, and the time after which its caller may return. */
export interface TimeRefusal {
  readonly reason: Extract<RefusalReason, 'deadlinePassed' | 'hostLate' | 'stopping'>;
  readonly retryAfter?: Milliseconds;
}

/** Checks whether there is time left for a request. */
export interface TimeCheck {
  isStopping(): boolean;
  /** Returns why a request is not admitted; undefined if it may be. */
  tryRefuseAdmission(request: TimedRequest): TimeRefusal | undefined;
  /** Returns why a request that was granted a slot is not sent; undefined if it may be. */
  tryRefuseDispatch(request: TimedRequest): TimeRefusal | undefined;
  /** Calls back when a stop begins, and when its grace period ends; returns how to end the watch. */
  watchStop(listener: (event: StopEvent) => void): () => void;
}

/** The time in which a stopping host ends what it has accepted. */
export interface StopPeriod {
  readonly startedAt: Milliseconds;
  readonly endsAt: Milliseconds;
}

/** Step of a stop: the signal, and the end of the grace period. */
export type StopEvent = 'begun' | 'expired';

/** The end of the grace period of a stopping host. */
export interface StopDeadline {
  begin(period: StopPeriod): void;
  /** Returns the period of the stop; undefined before it. */
  tryGetPeriod(): StopPeriod | undefined;
  /** Returns whether this time is before the end of the host, as far as that is known. */
  isBeforeEnd(at: Milliseconds): boolean;
  /** Calls back at each step of the stop; returns the function that ends the watch. */
  watch(listener: (event: StopEvent) => void): () => void;
  expire(): void;
}
