import type { Clock, Milliseconds } from '@rattanreel/core';

interface Sleeper {
  sleep(delay: Milliseconds): Promise<void>;
  /** Ends the sleep at hand, and every later one at once. */
  stop(): void;
}

/** Pauses of one task, which a stop cuts short. */
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
