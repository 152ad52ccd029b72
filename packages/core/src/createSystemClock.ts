import { performance } from 'node:perf_hooks';
import type { Clock, Milliseconds } from './types';

/** Node.js runs a timer with a longer delay after 1 ms. */
const MAXIMUM_DELAY: Milliseconds = 2 ** 31 - 1;

/** Creates the clock of the running process. A timer fires after 24 days at the latest. */
export default function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => new Date(),
    after(delay, callback) {
      const handle = setTimeout(callback, Math.min(delay, MAXIMUM_DELAY));
      return { cancel: () => clearTimeout(handle) };
    },
  };
}
