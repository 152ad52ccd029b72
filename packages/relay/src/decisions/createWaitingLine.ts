import type { Milliseconds, TierRank } from '@rattanreel/core';
import type { Urgency, WaitingRequest } from '../types';

interface WaitingLine {
  readonly size: number;
  add(request: WaitingRequest): void;
  remove(request: WaitingRequest): void;
  /** The most urgent request for which `isServable` holds, left in the line. */
  tryFind(isServable: (request: WaitingRequest) => boolean): WaitingRequest | undefined;
  /** The same by floor rank, and then by arrival, whatever the length of the answer. */
  tryFindForFloor(isServable: (request: WaitingRequest) => boolean): WaitingRequest | undefined;
  /** Removes and returns requests that would come too late if they were served now. */
  takeLate(now: Milliseconds): readonly WaitingRequest[];
  /** Requests by rank. */
  countByRank(): ReadonlyMap<number, number>;
  /** Sum of `getWork` over the requests that would be served before one of this rank that comes now. */
  sumAhead(rank: number, getWork: (tier: TierRank) => number): number;
}

interface WaitingLineOptions {
  /** Expected time from dispatch to a first answer. */
  readonly getExpectedTime: () => Milliseconds;
}

interface Lane {
  readonly urgency: Urgency;
  readonly requests: Set<WaitingRequest>;
}

function compareForFloor(left: WaitingRequest, right: WaitingRequest): number {
  const byRank = left.urgency.floorRank - right.urgency.floorRank;
  return byRank === 0 ? left.urgency.serveBy - right.urgency.serveBy : byRank;
}

/**
 * Requests that wait for a backend server, by rank and in each rank in order of arrival. Those that
 * can no longer be served in time leave at once: work that is late already must not delay work that
 * is not, or a burst keeps every later request late (a metastable overload).
 */
export default function createWaitingLine(options: WaitingLineOptions): WaitingLine {
  const lanes = new Map<string, Lane>();
  let order: Lane[] = [];

  function getLane({ urgency }: WaitingRequest): Lane {
    const key = `${urgency.rank} ${urgency.floorRank} ${urgency.tier}`;
    let lane = lanes.get(key);
    if (lane === undefined) {
      lane = { urgency, requests: new Set() };
      lanes.set(key, lane);
      order = [...lanes.values()].sort((left, right) => left.urgency.rank - right.urgency.rank);
    }
    return lane;
  }

  function listAll(): readonly WaitingRequest[] {
    return order.flatMap(({ requests }) => [...requests]);
  }

  return {
    get size() {
      return order.reduce((sum, lane) => sum + lane.requests.size, 0);
    },
    add(request) {
      getLane(request).requests.add(request);
    },
    remove(request) {
      getLane(request).requests.delete(request);
    },
    tryFind: (isServable) => listAll().find(isServable),
    tryFindForFloor: (isServable) => [...listAll()].sort(compareForFloor).find(isServable),
    takeLate(now) {
      const expectedAt = now + options.getExpectedTime();
      const late = order.flatMap((lane) =>
        [...lane.requests].filter(({ urgency }) => expectedAt > urgency.serveBy),
      );
      late.forEach((request) => getLane(request).requests.delete(request));
      return late;
    },
    countByRank() {
      const counts = new Map<number, number>();
      order.forEach(({ urgency: { rank }, requests }) => {
        if (requests.size > 0) {
          counts.set(rank, (counts.get(rank) ?? 0) + requests.size);
        }
      });
      return counts;
    },
    sumAhead: (rank, getWork) =>
      order
        .filter((lane) => lane.urgency.rank <= rank)
        .reduce((sum, lane) => sum + lane.requests.size * getWork(lane.urgency.tier), 0),
  };
}
