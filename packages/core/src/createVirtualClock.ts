import createPriorityQueue from './createPriorityQueue';
import type { Milliseconds, VirtualClock } from './types';

interface ScheduledCallback {
  readonly due: Milliseconds;
  readonly sequence: number;
  readonly callback: () => void;
  cancelled: boolean;
}

/** Creates a clock for tests and benchmarks; only `advance` and `runNext` change its time. */
export default function createVirtualClock(start: Milliseconds = 0): VirtualClock {
  const scheduled = createPriorityQueue<ScheduledCallback>(
    (left, right) => left.due - right.due || left.sequence - right.sequence,
  );
  let time = start;
  let sequence = 0;

  function tryRunNext(limit: Milliseconds): boolean {
    let next = scheduled.peek();
    while (next?.cancelled) {
      scheduled.pop();
      next = scheduled.peek();
    }
    if (next === undefined || next.due > limit) {
      return false;
    }
    scheduled.pop();
    time = Math.max(time, next.due);
    next.callback();
    return true;
  }

  return {
    now: () => time,
    wallTime: () => new Date(time),
    after(delay, callback) {
      sequence += 1;
      const entry: ScheduledCallback = {
        due: time + Math.max(0, delay),
        sequence,
        callback,
        cancelled: false,
      };
      scheduled.push(entry);
      return {
        cancel() {
          entry.cancelled = true;
        },
      };
    },
    advance(span) {
      const limit = time + span;
      while (tryRunNext(limit)) {
        // A callback may schedule further timers, so the next one is looked up each time.
      }
      time = limit;
    },
    runNext: () => tryRunNext(Number.POSITIVE_INFINITY),
  };
}
