/** Types of fair sharing: how customers share the scarce slots of a pool. */
import type { CustomerId, Milliseconds, TierRank } from '@rattanreel/core';
import type { CustomerUse, Priority, QueuedRequest, ShareKey } from '../types';

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
  /** Sets the slots in use by the requests of other hosts. */
  setPeerUse(use: ReadonlyMap<ShareKey, number>): void;
  /** Slots in use relative to the customer's weight; the customer with the least goes first. */
  getLevel(key: ShareKey): number;
  /** Returns the state of a customer among those that use slots and those that wait. */
  getState(key: ShareKey, waiting: Iterable<ShareKey>): ShareState;
  /** Returns the largest users among this host's own requests, and the sum of the others. */
  getOwnUse(): CustomerUse;
}

export interface FairWaitOptions {
  readonly request: Pick<QueuedRequest, 'customer' | 'priority'>;
  readonly queued: readonly QueuedRequest[];
  readonly shares: Pick<SlotShares, 'getLevel' | 'getState'>;
  readonly getWeight: (key: ShareKey) => number;
  /** Mean time for which a request of a tier holds its slot. */
  readonly getDuration: (tier: TierRank) => Milliseconds;
  /** Slots that this host refills. */
  readonly slots: number;
  /** Hosts that grant the pool's slots. */
  readonly hosts: number;
}
