import type { Milliseconds } from '@rattanreel/core';
import type { QueuedRequest } from '../types';
import getShareKey from './getShareKey';
import type { FairWaitOptions } from './types';

/**
 * Estimates how long a new request of a customer waits when customers share slots: its own earlier
 * requests go first, at once as far as it uses less than the others that wait, and then at the rate
 * of its share. The queue of a customer that uses more does not delay it.
 */
export default function estimateFairWait(options: FairWaitOptions): Milliseconds {
  const { request, queued, shares, getWeight, getDuration, slots, hosts } = options;
  const { floorRank, rank } = request.priority;
  const key = getShareKey(request);
  const level = shares.getLevel(key);
  let urgentWork = 0;
  let ownWork = 0;
  let ownCount = 0;
  let highestLevel = level;

  function add(other: QueuedRequest): void {
    const { priority } = other;
    const work = getDuration(priority.tier);
    if (priority.floorRank < floorRank) {
      urgentWork += work;
      return;
    }
    if (priority.floorRank > floorRank) {
      return;
    }
    const otherKey = getShareKey(other);
    if (otherKey === key) {
      ownWork += priority.rank <= rank ? work : 0;
      ownCount += priority.rank <= rank ? 1 : 0;
    } else {
      const otherLevel = shares.getLevel(otherKey);
      urgentWork += otherLevel < level ? work : 0;
      highestLevel = Math.max(highestLevel, otherLevel);
    }
  }

  queued.forEach(add);
  const { share, use } = shares.getState(key, queued.map(getShareKey));
  // Levels count the slots of all hosts, the queue is that of one.
  const undelayed = ((highestLevel - level) * getWeight(key)) / hosts;
  const undelayedPart = ownCount === 0 ? 1 : Math.min(undelayed / ownCount, 1);
  const delayedWork = ownWork * (1 - undelayedPart);
  const work = urgentWork + ownWork * undelayedPart + delayedWork / Math.max(share, use);
  return work / slots;
}
