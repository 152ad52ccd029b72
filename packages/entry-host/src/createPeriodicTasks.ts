import type { Clock, Milliseconds, Timer } from '@rattanreel/core';

const UPDATE_INTERVAL_MS = 500;
const REPORT_INTERVAL_MS = 1_000;
const HOST_LIST_INTERVAL_MS = 5_000;

interface PeriodicTasksOptions {
  readonly clock: Clock;
  /** Propagates changes between the tasks. */
  readonly update: () => void;
  /** Reports the requests in flight again, so that a scheduler that missed a release detects it. */
  readonly reportInFlight: () => void;
  /** Reads the platform's list of hosts for the membership. */
  readonly updateHostList: () => Promise<void>;
}

interface PeriodicTasks {
  start(): void;
  stop(): void;
}

/** Runs the periodic tasks of an entry host until stopped. */
export default function createPeriodicTasks(options: PeriodicTasksOptions): PeriodicTasks {
  const { clock } = options;
  const timers = new Map<string, Timer>();

  function runPeriodically(name: string, interval: Milliseconds, action: () => void): void {
    action();
    timers.set(
      name,
      clock.after(interval, () => runPeriodically(name, interval, action)),
    );
  }

  return {
    start() {
      runPeriodically('update', UPDATE_INTERVAL_MS, options.update);
      runPeriodically('report', REPORT_INTERVAL_MS, options.reportInFlight);
      runPeriodically('list', HOST_LIST_INTERVAL_MS, () => {
        void options.updateHostList();
      });
    },
    stop() {
      timers.forEach((timer) => timer.cancel());
    },
  };
}
