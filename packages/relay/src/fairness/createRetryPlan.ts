import type { Milliseconds, Random } from '@rattanreel/core';
import MINIMUM_RETRY_FRACTION from '../decisions/minimumRetryFraction';
import type { RetryOptions, RetryPlan } from './types';

/** Callers honour a delay of at most this part of their remaining time. */
const MAXIMUM_RETRY_FRACTION = 1 / 3;
/** Arrivals are counted over about this time: about one objective, so that the end of a burst shows. */
const LOAD_TIME_CONSTANT: Milliseconds = 500;
/** Spare capacity is never taken as less, so that times stay finite. */
const MINIMUM_SPARE = 0.05;
/** Part of a delay by which it varies at random. */
const JITTER = 0.2;
/** The same for callers whose time is not enough. */
const LATE_JITTER = 0.25;

interface RetryDecision {
  readonly delay: Milliseconds;
  /** Undefined if the caller returns too late to be planned for. */
  readonly bookUntil: Milliseconds | undefined;
}

/**
 * Decides when a refused request may return. Handles a burst that is refused: each caller is told
 * the time at which the queue is expected to be empty and those told before it have been served, at
 * the present rate of arrivals, higher tiers first. Callers for whom that is too late return near
 * the end of the time in which they may, at random, so that they form no second wave.
 */
export default function createRetryPlan(random: Random): RetryPlan {
  /** By rank, the time up to which returning requests are expected to take the spare capacity. */
  const bookedUntil = new Map<number, Milliseconds>();
  let recentWork = 0;
  let recordedAt: Milliseconds = 0;

  function getRecentWork(now: Milliseconds): number {
    return recentWork * Math.exp(-(now - recordedAt) / LOAD_TIME_CONSTANT);
  }

  function decayRecentWork(now: Milliseconds): void {
    recentWork = getRecentWork(now);
    recordedAt = now;
  }

  function getBookedUntil(rank: number): Milliseconds {
    return [...bookedUntil].reduce(
      (latest, [other, until]) => (other <= rank ? Math.max(latest, until) : latest),
      -Infinity,
    );
  }

  function book(rank: number, until: Milliseconds, now: Milliseconds): void {
    bookedUntil.forEach((booked, other) => {
      if (booked < now) {
        bookedUntil.delete(other);
      }
    });
    bookedUntil.set(rank, until);
  }

  /** Decides the delay, and up to when the returning request is expected to take capacity. */
  function decide(options: RetryOptions, ownRandom: Random): RetryDecision {
    const { rank, timeLeft, queuedWork, work, slots, now } = options;
    const shortest = timeLeft * MINIMUM_RETRY_FRACTION;
    const longest = timeLeft * MAXIMUM_RETRY_FRACTION;
    const load = getRecentWork(now) / LOAD_TIME_CONSTANT / slots;
    const spare = slots * Math.max(1 - load, MINIMUM_SPARE);
    const startAt = Math.max(now + queuedWork / spare, getBookedUntil(rank));
    const delay = Math.max(startAt - now, shortest) * (1 + ownRandom.next() * JITTER);
    return slots === 0 || delay > longest
      ? { delay: longest * (1 - ownRandom.next() * LATE_JITTER), bookUntil: undefined }
      : { delay, bookUntil: startAt + work / spare };
  }

  return {
    recordArrival(work, now) {
      decayRecentWork(now);
      recentWork += work;
    },
    getDelay(options) {
      decayRecentWork(options.now);
      const { delay, bookUntil } = decide(options, random);
      if (bookUntil !== undefined) {
        book(options.rank, bookUntil, options.now);
      }
      return delay;
    },
    previewDelay: (options, ownRandom) => decide(options, ownRandom).delay,
  };
}
