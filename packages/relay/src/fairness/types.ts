/** Types of fair sharing: how customers share the scarce slots of a pool. */
import type { CustomerId, Milliseconds, TierRank } from '@rattanreel/core';
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
