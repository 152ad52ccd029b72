/** Records of the request queue. */
import type { Milliseconds, RequestId, TierRank } from '@rattanreel/core';
import type { GrantRequested } from '../types';

/** An element that knows its index in each heap that holds it. */
export interface HeapElement {
  /** Index by heap slot; -1 where it is not held. */
  readonly heapPositions: number[];
}

/** A binary heap that can remove any element it holds. */
export interface IndexedHeap<Element extends HeapElement> {
  readonly size: number;
  push(element: Element): void;
  peek(): Element | undefined;
  pop(): Element | undefined;
  /** Removes `element`; does nothing when it is not held. */
  remove(element: Element): void;
  /** Restores the order after the key of `element` has changed. */
  update(element: Element): void;
}

/** A request that waits for a backend server. */
export interface QueuedRequest extends HeapElement {
  readonly id: RequestId;
  /** The message as last received; a repeated request replaces it. */
  grantRequest: GrantRequested;
  /** Rank in the strict order: by tier, requests of other failure domains after the domain's own. */
  readonly band: number;
  /** Estimated cost in tokens. */
  readonly cost: number;
  readonly sequence: number;
  readonly enqueuedAt: Milliseconds;
  /** When it began to wait, at any scheduler. */
  readonly arrivedAt: Milliseconds;
  readonly firstTokenDueAt: Milliseconds;
  readonly dueAt: Milliseconds;
  /** Deadline less the time that serving it takes with a margin: what the order within a customer follows. */
  readonly orderingDeadline: Milliseconds;
  /** After this instant not even an idle backend server could answer in time. */
  readonly latestStart: Milliseconds;
}

/** Requests in order of service: strict by band, fair by customer, then by earliest deadline. */
export interface RequestQueue {
  readonly size: number;
  add(request: QueuedRequest): void;
  tryGet(id: RequestId): QueuedRequest | undefined;
  /** Removes a request without charging its customer. */
  remove(request: QueuedRequest): void;
  /** The next request in order of service, left in place. */
  peek(): QueuedRequest | undefined;
  /** Removes a request that is served and charges its customer. */
  dequeue(request: QueuedRequest): void;
  /** The newest request of a band. */
  tryGetNewestInBand(band: number): QueuedRequest | undefined;
  /** The newest request of the lowest band. */
  tryGetNewestInLowestBand(): QueuedRequest | undefined;
  /** The request that becomes hopeless first. */
  tryGetNextExpiring(): QueuedRequest | undefined;
  /** Estimated tokens queued in `band` and above. */
  getCostThrough(band: number): number;
  /** Requests queued in the bands of a tier. */
  countOfTier(tier: number): number;
  forEach(visit: (request: QueuedRequest) => void): void;
}

/** Requests that cannot be answered in time, kept until no lower tier is queued or their deadline has passed. */
export interface DeferredRefusals {
  readonly size: number;
  /** Rank of the lowest tier held; -1 when nothing is. */
  readonly lowestTier: TierRank;
  add(request: QueuedRequest): void;
  remove(request: QueuedRequest): void;
  tryGet(id: RequestId): QueuedRequest | undefined;
  tryGetFromLowestTier(): QueuedRequest | undefined;
  /** The request whose deadline passes first. */
  tryGetNextDue(): QueuedRequest | undefined;
  countOfTier(tier: TierRank): number;
  forEach(visit: (request: QueuedRequest) => void): void;
}
