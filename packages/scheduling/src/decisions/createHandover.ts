import type { Milliseconds } from '@rattanreel/core';
import type { EntryHostIncarnation, PoolSchedulerOptions, SchedulerPolicy } from '../types';
import getIncarnationKey from '../getIncarnationKey';
import type { Handover } from './types';

const MAXIMUM_WAIT_FACTOR = 2;

/**
 * Holds grants back after a start until the wait has passed and each entry host seen alive has reported; an
 * entry host that stays silent for twice the wait is not waited for.
 */
export default function createHandover(
  options: PoolSchedulerOptions,
  policy: SchedulerPolicy,
): Handover {
  const earliestEnd = options.startedAt + policy.handoverWait;
  const latestEnd = options.startedAt + policy.handoverWait * MAXIMUM_WAIT_FACTOR;
  const reportedHosts = new Set<string>();
  let alive: readonly EntryHostIncarnation[] = [];
  let hasEnded = !options.needsHandover;

  function isOver(now: Milliseconds): boolean {
    if (!hasEnded && now >= earliestEnd) {
      const haveAllReported = alive.every((member) => reportedHosts.has(getIncarnationKey(member)));
      hasEnded = haveAllReported || now >= latestEnd;
    }
    return hasEnded;
  }

  return {
    isOver,
    tryGetEnd(now) {
      if (isOver(now)) {
        return undefined;
      }
      return now < earliestEnd ? earliestEnd : latestEnd;
    },
    recordReport(from) {
      reportedHosts.add(getIncarnationKey(from));
    },
    setMembers(members) {
      alive = members;
    },
  };
}
