import type { Clock, Milliseconds } from '@rattanreel/core';
import type { SchedulerSelector, SchedulerStatus, SchedulerView } from './types';

interface SchedulerViewOptions {
  readonly clock: Clock;
  readonly selector: Pick<SchedulerSelector, 'getChoice'>;
}

interface SchedulerViews {
  record(status: SchedulerStatus): void;
  /** Returns what is known of the scheduler; undefined if this host grants its own slots. */
  tryGet(): SchedulerView | undefined;
}

/** Holds what this host last heard from its scheduler. */
export default function createSchedulerView({
  clock,
  selector,
}: SchedulerViewOptions): SchedulerViews {
  let last: { readonly status: SchedulerStatus; readonly at: Milliseconds } | undefined;

  return {
    record(status) {
      last = { status, at: clock.now() };
    },
    tryGet() {
      const choice = selector.getChoice();
      if (choice.kind === 'self') {
        return undefined;
      }
      const { host, kind: state } = choice;
      const known = last?.status.entryHost === host.entryHost ? last : undefined;
      const statusAge = known && Math.round(clock.now() - known.at);
      return { host, state, status: known?.status, statusAge };
    },
  };
}
