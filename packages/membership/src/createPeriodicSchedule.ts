import type { Milliseconds } from '@rattanreel/core';
import type { PeriodicSchedule } from './types';

/** Keeps the due times of named periodic work. A name's first time is one interval after `startedAt`. */
export default function createPeriodicSchedule(startedAt: Milliseconds): PeriodicSchedule {
  const dueAt = new Map<string, Milliseconds>();

  return {
    isDue(name, interval, now) {
      const due = dueAt.get(name) ?? startedAt + interval;
      if (now < due) {
        dueAt.set(name, due);
        return false;
      }
      // A late run does not make the next ones follow at once.
      dueAt.set(name, Math.max(due + interval, now + interval / 2));
      return true;
    },
    nextDue: (name, now) => Math.max(now, dueAt.get(name) ?? now),
  };
}
