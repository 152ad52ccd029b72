import type { Milliseconds } from '@rattanreel/core';
import type { EntryHostIncarnation, PoolSchedulerOptions, SchedulerPolicy } from '../types';
import getIncarnationKey from '../getIncarnationKey';
import type { Handover } from './types';

const MAXIMUM_WAIT_FACTOR = 2;

/**
 * Delays grants after a start until the handover wait has passed and each entry host considered
 * alive has reported. Missing reports are not awaited for longer than twice that wait.
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
