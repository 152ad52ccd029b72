import { performance } from 'node:perf_hooks';
import type { Clock } from './types';

/** Creates the clock of the running process. */
export default function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallTime: () => new Date(),
    after(delay, callback) {
      const handle = setTimeout(callback, delay);
      return { cancel: () => clearTimeout(handle) };
    },
  };
}
