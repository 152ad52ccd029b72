import type { Clock, Milliseconds } from '@rattanreel/core';
import type { EngineLoad, LoadHistory } from './types';

const MINIMUM_SNAPSHOT_INTERVAL_MILLISECONDS = 20;

type Snapshot = Omit<EngineLoad, 'reportedAgo'>;

interface TimedSnapshot {
  readonly at: Milliseconds;
  readonly load: Snapshot;
}

/** Creates a history of load snapshots that returns only those at least `lag` old. */
export default function createLoadHistory(
  clock: Clock,
  lag: Milliseconds,
  first: Snapshot,
): LoadHistory {
  const start = clock.now();
  const snapshots: TimedSnapshot[] = [{ at: start, load: first }];

  function dropOutdated(): void {
    while (snapshots.length > 1 && snapshots[1]!.at <= clock.now() - lag) {
      snapshots.shift();
    }
  }

  return {
    record(load) {
      const now = clock.now();
      const last = snapshots.at(-1)!;
      if (now - last.at < MINIMUM_SNAPSHOT_INTERVAL_MILLISECONDS && snapshots.length > 1) {
        // Keeps the older timestamp, so that frequent changes cannot postpone a report.
        snapshots[snapshots.length - 1] = { at: last.at, load };
      } else {
        snapshots.push({ at: now, load });
      }
      dropOutdated();
    },
    getNewestVisible() {
      dropOutdated();
      return { ...snapshots[0]!.load, reportedAgo: Math.min(lag, clock.now() - start) };
    },
  };
}
