import type { Milliseconds } from '@rattanreel/core';
import type { PeriodicSchedule } from './types';

/**
 * Keeps the due times of named periodic tasks. A task is first due one interval after `startedAt`.
 */
export default function createPeriodicSchedule(startedAt: Milliseconds): PeriodicSchedule {
  const dueAt = new Map<string, Milliseconds>();

  return {
    isDue(name, interval, now) {
      const due = dueAt.get(name) ?? startedAt + interval;
      if (now < due) {
        dueAt.set(name, due);
        return false;
      }
      // After a late run, the next one is still at least half an interval away.
      dueAt.set(name, Math.max(due + interval, now + interval / 2));
      return true;
    },
    getNextDueTime: (name, now) => Math.max(now, dueAt.get(name) ?? now),
  };
}
