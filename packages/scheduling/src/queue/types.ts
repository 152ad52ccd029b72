/** Types of the request queue. */
import type { Milliseconds, RequestId, TierRank } from '@rattanreel/core';
import type { GrantRequested } from '../types';

/** An element that knows its index in each heap that holds it. */
export interface HeapElement {
  /** Index in each heap by heap ID; -1 where the heap does not contain the element. */
  readonly heapPositions: number[];
}

/** A binary heap that can remove any element it holds. */
export interface IndexedHeap<Element extends HeapElement> {
  readonly size: number;
  push(element: Element): void;
  peek(): Element | undefined;
  pop(): Element | undefined;
  /** Removes `element`; does nothing when the heap does not contain it. */
  remove(element: Element): void;
  /** Restores the order after the key of `element` has changed. */
  update(element: Element): void;
}

/** A request that waits for a backend server. */
export interface QueuedRequest extends HeapElement {
  readonly id: RequestId;
  /** The request for a grant; one that is sent again replaces its sender and stamp. */
  grantRequest: GrantRequested;
  /**
   * Priority band: by tier, and within a tier requests spilled over from other failure domains
   * after the domain's own.
   */
  readonly band: number;
  /** Estimated cost in tokens. */
  readonly cost: number;
  readonly sequence: number;
  readonly enqueuedAt: Milliseconds;
  /** When the request began to wait, at this or an earlier scheduler. */
  readonly arrivedAt: Milliseconds;
  readonly firstTokenDueAt: Milliseconds;
  readonly dueAt: Milliseconds;
  /**
   * Deadline minus the best-case service time with a margin; orders the requests of one customer.
   */
  readonly orderingDeadline: Milliseconds;
  /** After this instant not even an idle backend server could answer in time. */
  readonly latestStart: Milliseconds;
}

/**
 * Requests in service order: strict priority by band, fair queueing across customers, then earliest
 * deadline first.
 */
export interface RequestQueue {
  readonly size: number;
  add(request: QueuedRequest): void;
  tryGet(id: RequestId): QueuedRequest | undefined;
  /** Removes a request without charging its customer. */
  remove(request: QueuedRequest): void;
  /** Returns the next request in service order without removing it. */
  peek(): QueuedRequest | undefined;
  /** Removes a request that is granted and charges its customer. */
  dequeue(request: QueuedRequest): void;
  /** Returns the newest request of a band. */
  tryGetNewestInBand(band: number): QueuedRequest | undefined;
  /** Returns the newest request of the lowest band. */
  tryGetNewestInLowestBand(): QueuedRequest | undefined;
  /** Returns the request whose latest start comes first. */
  tryGetNextExpiring(): QueuedRequest | undefined;
  /** Returns the estimated tokens queued in `band` and all bands above it. */
  getCostThrough(band: number): number;
  /** Returns the number of requests queued in the bands of a tier. */
  countOfTier(tier: number): number;
  forEach(visit: (request: QueuedRequest) => void): void;
}

/**
 * Requests that cannot be answered in time, kept until no lower tier is queued or their deadline
 * has passed.
 */
export interface DeferredRefusals {
  readonly size: number;
  /** Rank of the lowest tier contained; -1 when empty. */
  readonly lowestTier: TierRank;
  add(request: QueuedRequest): void;
  remove(request: QueuedRequest): void;
  tryGet(id: RequestId): QueuedRequest | undefined;
  tryGetFromLowestTier(): QueuedRequest | undefined;
  /** Returns the request whose deadline passes first. */
  tryGetNextDue(): QueuedRequest | undefined;
  countOfTier(tier: TierRank): number;
  forEach(visit: (request: QueuedRequest) => void): void;
}
