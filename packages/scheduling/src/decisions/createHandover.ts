import type { Milliseconds } from '@rattanreel/core';
import type { EntryHostIncarnation, PoolSchedulerOptions, SchedulerPolicy } from '../types';
import getIncarnationKey from '../getIncarnationKey';
import type { Handover } from './types';

const LONGEST_WAITS = 2;

/**
 * Holds grants back after a start until the wait has passed and each entry host seen alive has reported; an
 * entry host that stays silent for twice the wait is not waited for.
 */
export default function createHandover(
  options: PoolSchedulerOptions,
  policy: SchedulerPolicy,
): Handover {
  const earliest = options.startedAt + policy.handoverWait;
  const latest = options.startedAt + policy.handoverWait * LONGEST_WAITS;
  const heard = new Set<string>();
  let alive: readonly EntryHostIncarnation[] = [];
  let over = !options.handover;

  function isOver(now: Milliseconds): boolean {
    if (!over && now >= earliest) {
      const allHeard = alive.every((member) => heard.has(getIncarnationKey(member)));
      over = allHeard || now >= latest;
    }
    return over;
  }

  return {
    isOver,
    endsAt(now) {
      if (isOver(now)) {
        return undefined;
      }
      return now < earliest ? earliest : latest;
    },
    reported(from) {
      heard.add(getIncarnationKey(from));
    },
    membersChanged(members) {
      alive = members;
    },
  };
}
