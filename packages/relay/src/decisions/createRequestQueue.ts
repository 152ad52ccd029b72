import type { Milliseconds, TierRank } from '@rattanreel/core';
import type { Priority, QueuedRequest } from '../types';
import type { SlotRequester } from './types';

interface RequestQueue {
  readonly size: number;
  /** Lists the requests by rank, and by arrival within a rank. */
  list(): readonly QueuedRequest[];
  add(request: QueuedRequest): void;
  remove(request: QueuedRequest): void;
  /** Returns the first request by rank for which `isServable` holds, without removing it. */
  tryFind(isServable: (request: QueuedRequest) => boolean): QueuedRequest | undefined;
  /**
   * Returns the first request by floor rank, then by `serveBy`, for which `isServable` holds,
   * whatever the length of its response, without removing it.
   */
  tryFindByFloorRank(isServable: (request: QueuedRequest) => boolean): QueuedRequest | undefined;
  /** Removes and returns the requests that would be late even if they were dispatched now. */
  removeExpired(now: Milliseconds): readonly QueuedRequest[];
  /** Lists the groups that share slots and have queued requests. */
  listGroups(): readonly SlotRequester[];
  /** Counts the queued requests by rank. */
  countByRank(): ReadonlyMap<number, number>;
  /** Sums `getWork` over the requests that would be served before a new one of this rank. */
  sumWorkAhead(rank: number, getWork: (tier: TierRank) => number): number;
}

interface RequestQueueOptions {
  /** Expected time from dispatch to the first response data. */
  readonly getExpectedTimeToFirstData: () => Milliseconds;
  /** Changes the order of service between customers; keeps that of one customer's requests. */
  readonly arrange?: (requests: readonly QueuedRequest[]) => readonly QueuedRequest[];
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
 * Holds the requests that wait for a backend server, ordered by rank and by arrival within a rank.
 * Requests that can no longer be served in time are removed at once: work that is late already must
 * not delay work that is not, or a burst would keep every later request late (metastable overload).
 */
export default function createRequestQueue(options: RequestQueueOptions): RequestQueue {
  const { arrange = (requests) => requests } = options;
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
    list: listAll,
    tryFind: (isServable) => arrange(listAll()).find(isServable),
    tryFindByFloorRank: (isServable) =>
      arrange([...listAll()].sort(compareByFloorRank)).find(isServable),
    removeExpired(now) {
      const expectedAt = now + options.getExpectedTimeToFirstData();
      const expired = levels.flatMap((level) =>
        [...level.requests].filter(({ priority }) => expectedAt > priority.serveBy),
      );
      expired.forEach((request) => getLevel(request).requests.delete(request));
      return expired;
    },
    listGroups: () =>
      levels.filter(({ requests }) => requests.size > 0).map(({ priority }) => priority),
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
