import type { Clock } from '@rattanreel/core';
import type { ProcessClock } from './types';

/** Wraps a clock for one process that can be paused, resumed and ended. */
export default function createProcessClock(clock: Clock): ProcessClock {
  const backlog: (() => void)[] = [];
  let state: 'running' | 'paused' | 'ended' = 'running';

  function runOrHold(callback: () => void): void {
    if (state === 'running') {
      callback();
    } else if (state === 'paused') {
      backlog.push(callback);
    }
  }

  const after: Clock['after'] = (delay, callback) => {
    let isCancelled = false;
    const timer = clock.after(delay, () => runOrHold(() => isCancelled || callback()));
    return {
      cancel() {
        isCancelled = true;
        timer.cancel();
      },
    };
  };

  return {
    now: clock.now,
    wallTime: clock.wallTime,
    after,
    pause() {
      state = state === 'running' ? 'paused' : state;
    },
    resume() {
      state = state === 'paused' ? 'running' : state;
      if (state === 'running') {
        backlog.splice(0).forEach((callback) => callback());
      }
    },
    end() {
      state = 'ended';
    },
    enter: (promise) =>
      new Promise((resolve, reject) => {
        promise.then(
          (value) => runOrHold(() => resolve(value)),
          (error: unknown) => runOrHold(() => reject(error)),
        );
      }),
  };
}
