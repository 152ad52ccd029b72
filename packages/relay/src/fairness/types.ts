/** Types of fair sharing: how customers share the scarce slots of a pool. */
import type { CustomerId, Milliseconds, Random, TierRank } from '@rattanreel/core';
import type { SlotCounts } from '../decisions/types';
import type { CustomerUse, PeerCustomerUse, Priority, QueuedRequest, ShareKey } from '../types';

/** What determines with whom a request shares slots. */
export interface Sharer {
  readonly customer?: CustomerId | undefined;
  readonly priority: Pick<Priority, 'tier'>;
}

/** A customer's part of the slots that its tier uses, for log lines. */
export interface ShareState {
  /** Part of the tier's slots that the customer is entitled to while all others compete. */
  readonly share: number;
  /** Part of the tier's slots that it uses. */
  readonly use: number;
}

/** Slots in use by customer and tier in one pool, over all reachable hosts. */
export interface SlotShares {
  recordGrant(key: ShareKey): void;
  recordRelease(key: ShareKey): void;
  /** Sets the slots in use by the requests of other hosts, and the requests that wait there. */
  setPeerUse(use: PeerCustomerUse): void;
  /** Slots in use relative to the customer's weight; the customer with the least goes first. */
  getLevel(key: ShareKey): number;
  /** Returns the part of all slots in use that the largest user has; 0 if none is in use. */
  getLargestUse(): number;
  /** Returns the state of a customer among those that use slots and those that wait. */
  getState(key: ShareKey, waiting: Iterable<ShareKey>): ShareState;
  /** Summarizes this host's slots in use and its queued requests for the other hosts. */
  summarize(queued: readonly QueuedRequest[]): CustomerUse;
  /**
   * Counts the requests at other hosts that go before a queued one: of the same tier or a higher
   * one, and of customers that use fewer slots for their weight.
   */
  countPeersAhead(request: QueuedRequest): number;
}

/** What the configuration says of a customer, by share key. */
export interface ShareTerms {
  /** Whether the configuration has customers. */
  readonly hasCustomers: boolean;
  getWeight(key: ShareKey): number;
  /** Order of the tier among the customers' and routes' tiers; lower ranks are served first. */
  getTierRank(key: ShareKey): number;
}

export interface FairWaitOptions {
  readonly request: Pick<QueuedRequest, 'customer' | 'priority'>;
  readonly queued: readonly QueuedRequest[];
  readonly shares: Pick<SlotShares, 'getLevel' | 'getState'>;
  readonly getWeight: ShareTerms['getWeight'];
  /** Mean time for which a request of a tier holds its slot. */
  readonly getDuration: (tier: TierRank) => Milliseconds;
  /** Slots that this host refills. */
  readonly slots: number;
  /** Hosts that grant the pool's slots. */
  readonly hosts: number;
}

/** A refused request and the state of its pool. */
export interface RetryOptions {
  /** Order among refused requests; lower ranks return first. */
  readonly rank: number;
  /** Time that the caller still waits. */
  readonly timeLeft: Milliseconds;
  /** Slot time of all queued requests, and of the refused one. */
  readonly queuedWork: Milliseconds;
  readonly work: Milliseconds;
  /** Slots that this host refills. */
  readonly slots: number;
  readonly now: Milliseconds;
}

export interface RetryPlan {
  /** Records the expected slot time of a request that was not refused before. */
  recordArrival(work: Milliseconds, now: Milliseconds): void;
  /** Returns the time after which a request that is refused now may return. */
  getDelay(options: RetryOptions): Milliseconds;
  /** Returns what `getDelay` would with these random numbers, and plans for no return. */
  previewDelay(options: RetryOptions, random: Random): Milliseconds;
}

export interface SharingFigures {
  /** Customers with queued requests, each counted once for each of its tiers. */
  readonly waitingCustomers: number;
  /** Part of all slots in use that the largest user has. */
  readonly largestUse: number;
}

/** Fair sharing of one pool, as its queue uses it. */
export interface FairSharing {
  /** Changes the order of service between customers; keeps that of one customer's requests. */
  arrange(requests: readonly QueuedRequest[]): readonly QueuedRequest[];
  recordArrival(request: Pick<QueuedRequest, 'priority'>): void;
  recordGrant(request: Sharer): void;
  recordRelease(customer: CustomerId | undefined, tier: TierRank): void;
  setPeerUse(use: PeerCustomerUse): void;
  /** Sets the number of hosts that grant the pool's slots. */
  setHosts(hosts: number): void;
  /** Returns the expected wait of a new request; undefined unless customers compete. */
  tryGetExpectedWait(
    request: Pick<QueuedRequest, 'customer' | 'priority'>,
  ): Milliseconds | undefined;
  /** Returns a customer's share and its use; undefined unless customers compete. */
  tryGetState(request: Sharer): ShareState | undefined;
  /** Returns whether the free slots are left to customers that use less and wait elsewhere. */
  shouldDefer(request: QueuedRequest, freeSlots: number): boolean;
  /** Summarizes the customers' use for the other hosts; undefined unless slots are scarce. */
  trySummarize(slots: Pick<SlotCounts, 'total' | 'inUse'>): CustomerUse | undefined;
  /** Returns figures for the metrics, none of which names a customer. */
  getFigures(): SharingFigures;
  /** Returns when a refused request may return; undefined without customers. */
  tryGetRetryDelay(request: Pick<QueuedRequest, 'priority'>): Milliseconds | undefined;
  /** The same with these random numbers, without planning for the return. */
  tryPreviewRetryDelay(
    request: Pick<QueuedRequest, 'priority'>,
    random: Random,
  ): Milliseconds | undefined;
}
