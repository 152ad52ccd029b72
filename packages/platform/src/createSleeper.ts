import type { Clock, Milliseconds } from '@rattanreel/core';

interface Sleeper {
  sleep(delay: Milliseconds): Promise<void>;
  /** Ends the current sleep, and every later one at once. */
  stop(): void;
}

/** Creates a sleeper for one task, whose sleeps `stop` ends early. */
export default function createSleeper(clock: Clock): Sleeper {
  let isStopped = false;
  let wake: (() => void) | undefined;
  return {
    sleep(delay) {
      return new Promise((resolve) => {
        if (isStopped) {
          resolve();
          return;
        }
        const timer = clock.after(delay, resolve);
        wake = () => {
          timer.cancel();
          resolve();
        };
      });
    },
    stop() {
      isStopped = true;
      wake?.();
    },
  };
}
