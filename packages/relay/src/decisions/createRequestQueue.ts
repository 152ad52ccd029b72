import type { Milliseconds, TierRank } from '@rattanreel/core';
import type { Priority, QueuedRequest } from '../types';

interface RequestQueue {
  readonly size: number;
  add(request: QueuedRequest): void;
  remove(request: QueuedRequest): void;
  /** The most urgent request for which `isServable` holds, left in the line. */
  tryFind(isServable: (request: QueuedRequest) => boolean): QueuedRequest | undefined;
  /** The same by floor rank, and then by arrival, whatever the length of the answer. */
  tryFindByFloorRank(isServable: (request: QueuedRequest) => boolean): QueuedRequest | undefined;
  /** Removes and returns requests that would come too late if they were served now. */
  removeExpired(now: Milliseconds): readonly QueuedRequest[];
  /** Requests by rank. */
  countByRank(): ReadonlyMap<number, number>;
  /** Sum of `getWork` over the requests that would be served before one of this rank that comes now. */
  sumWorkAhead(rank: number, getWork: (tier: TierRank) => number): number;
}

interface RequestQueueOptions {
  /** Expected time from dispatch to a first answer. */
  readonly getExpectedTimeToFirstData: () => Milliseconds;
}

interface PriorityLevel {
  readonly priority: Priority;
  readonly requests: Set<QueuedRequest>;
}

function compareByFloorRank(left: QueuedRequest, right: QueuedRequest): number {
  const byRank = left.priority.floorRank - right.priority.floorRank;
  return byRank === 0 ? left.priority.serveBy - right.priority.serveBy : byRank;
}

/**
 * Requests that wait for a backend server, by rank and in each rank in order of arrival. Those that
 * can no longer be served in time leave at once: work that is late already must not delay work that
 * is not, or a burst keeps every later request late (a metastable overload).
 */
export default function createRequestQueue(options: RequestQueueOptions): RequestQueue {
  const levelsByKey = new Map<string, PriorityLevel>();
  let levels: PriorityLevel[] = [];

  function getLevel({ priority }: QueuedRequest): PriorityLevel {
    const key = `${priority.rank} ${priority.floorRank} ${priority.tier}`;
    let level = levelsByKey.get(key);
    if (level === undefined) {
      level = { priority, requests: new Set() };
      levelsByKey.set(key, level);
      levels = [...levelsByKey.values()].sort(
        (left, right) => left.priority.rank - right.priority.rank,
      );
    }
    return level;
  }

  function listAll(): readonly QueuedRequest[] {
    return levels.flatMap(({ requests }) => [...requests]);
  }

  return {
    get size() {
      return levels.reduce((sum, level) => sum + level.requests.size, 0);
    },
    add(request) {
      getLevel(request).requests.add(request);
    },
    remove(request) {
      getLevel(request).requests.delete(request);
    },
    tryFind: (isServable) => listAll().find(isServable),
    tryFindByFloorRank: (isServable) => [...listAll()].sort(compareByFloorRank).find(isServable),
    removeExpired(now) {
      const expectedAt = now + options.getExpectedTimeToFirstData();
      const expired = levels.flatMap((level) =>
        [...level.requests].filter(({ priority }) => expectedAt > priority.serveBy),
      );
      expired.forEach((request) => getLevel(request).requests.delete(request));
      return expired;
    },
    countByRank() {
      const counts = new Map<number, number>();
      levels.forEach(({ priority: { rank }, requests }) => {
        if (requests.size > 0) {
          counts.set(rank, (counts.get(rank) ?? 0) + requests.size);
        }
      });
      return counts;
    },
    sumWorkAhead: (rank, getWork) =>
      levels
        .filter((level) => level.priority.rank <= rank)
        .reduce((sum, level) => sum + level.requests.size * getWork(level.priority.tier), 0),
  };
}
