import type { Clock } from '@rattanreel/core';
import type { ProcessClock } from './types';

/** Wraps a clock for one simulated process that can be paused, resumed and ended. */
export default function createProcessClock(clock: Clock): ProcessClock {
  const deferred: (() => void)[] = [];
  let state: 'running' | 'paused' | 'ended' = 'running';

  function runOrDefer(callback: () => void): void {
    if (state === 'running') {
      callback();
    } else if (state === 'paused') {
      deferred.push(callback);
    }
  }

  const after: Clock['after'] = (delay, callback) => {
    let isCancelled = false;
    const timer = clock.after(delay, () => runOrDefer(() => isCancelled || callback()));
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
        deferred.splice(0).forEach((callback) => callback());
      }
    },
    end() {
      state = 'ended';
    },
    deliver: (promise) =>
      new Promise((resolve, reject) => {
        promise.then(
          (value) => runOrDefer(() => resolve(value)),
          (error: unknown) => runOrDefer(() => reject(error)),
        );
      }),
  };
}
