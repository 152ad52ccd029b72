import type { Milliseconds } from '@rattanreel/core';
import type { WaitingRequest } from '../types';

export interface WaitingLine {
  readonly size: number;
  add(request: WaitingRequest): void;
  remove(request: WaitingRequest): void;
  /** The request to serve next, left in the line. */
  peek(now: Milliseconds): WaitingRequest | undefined;
  /** Removes and returns requests that can no longer end in time. */
  takeExpired(now: Milliseconds): readonly WaitingRequest[];
  /** Requests that would be served before one of this tier that can still meet its objective. */
  countAhead(tier: number): number;
}

export interface WaitingLineOptions {
  /** Expected time from dispatch to a first answer; a request with less time left to its objective is late. */
  readonly getExpectedTime: () => Milliseconds;
}

/** Tiers by which a late request falls behind: after the next tier's requests that are in time, before the one after. */
const LATE_PENALTY = 1.5;

interface Lane {
  readonly rank: number;
  readonly requests: Set<WaitingRequest>;
}

/**
 * Requests that wait for a backend server, in order of service: by tier, and in each tier those that
 * can still meet their objective before those that cannot. Under a burst this serves fresh work in
 * time instead of all work late.
 */
export default function createWaitingLine(options: WaitingLineOptions): WaitingLine {
  const lanes = new Map<number, Lane>();
  let order: Lane[] = [];

  function getLane(rank: number): Lane {
    let lane = lanes.get(rank);
    if (lane === undefined) {
      lane = { rank, requests: new Set() };
      lanes.set(rank, lane);
      order = [...lanes.values()].sort((left, right) => left.rank - right.rank);
    }
    return lane;
  }

  function isLate(request: WaitingRequest, now: Milliseconds): boolean {
    return now + options.getExpectedTime() > request.urgency.objectiveAt;
  }

  /** Moves requests that became late from the front of their lane to the late lane of their tier. */
  function moveLate(now: Milliseconds): void {
    order.forEach((lane) => {
      if (!Number.isInteger(lane.rank)) {
        return;
      }
      // eslint-disable-next-line no-restricted-syntax
      for (const request of lane.requests) {
        if (!isLate(request, now)) {
          return;
        }
        lane.requests.delete(request);
        getLane(lane.rank + LATE_PENALTY).requests.add(request);
      }
    });
  }

  function tryGetFirst(lane: Lane): WaitingRequest | undefined {
    return lane.requests.values().next().value;
  }

  return {
    get size() {
      return order.reduce((sum, lane) => sum + lane.requests.size, 0);
    },
    add(request) {
      getLane(request.urgency.tier).requests.add(request);
    },
    remove(request) {
      order.forEach((lane) => lane.requests.delete(request));
    },
    peek(now) {
      moveLate(now);
      const lane = order.find(({ requests }) => requests.size > 0);
      return lane === undefined ? undefined : tryGetFirst(lane);
    },
    takeExpired(now) {
      const expired = order.flatMap((lane) =>
        [...lane.requests].filter(
          ({ urgency }) => now + options.getExpectedTime() > urgency.deadlineAt,
        ),
      );
      expired.forEach((request) => order.forEach((lane) => lane.requests.delete(request)));
      return expired;
    },
    countAhead: (tier) =>
      order.filter(({ rank }) => rank <= tier).reduce((sum, lane) => sum + lane.requests.size, 0),
  };
}
