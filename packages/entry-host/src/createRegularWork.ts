import type { Clock, Milliseconds, Timer } from '@rattanreel/core';

const UPDATE_INTERVAL_MS = 500;
const REPORT_INTERVAL_MS = 1_000;
const LIST_INTERVAL_MS = 5_000;

interface RegularWorkOptions {
  readonly clock: Clock;
  /** Passes on what has changed between the tasks. */
  readonly update: () => void;
  /** Repeats what is in flight, so that a scheduler that missed a release learns of it. */
  readonly report: () => void;
  /** Reads the platform's list of hosts. */
  readonly list: () => Promise<void>;
}

interface RegularWork {
  start(): void;
  stop(): void;
}

/** Runs the periodic work of an entry host until stopped. */
export default function createRegularWork(options: RegularWorkOptions): RegularWork {
  const { clock } = options;
  const timers = new Map<string, Timer>();

  function repeat(name: string, interval: Milliseconds, work: () => void): void {
    work();
    timers.set(
      name,
      clock.after(interval, () => repeat(name, interval, work)),
    );
  }

  return {
    start() {
      repeat('update', UPDATE_INTERVAL_MS, options.update);
      repeat('report', REPORT_INTERVAL_MS, options.report);
      repeat('list', LIST_INTERVAL_MS, () => {
        void options.list();
      });
    },
    stop() {
      timers.forEach((timer) => timer.cancel());
    },
  };
}
