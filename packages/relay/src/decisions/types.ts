import type { Quota, Route } from '../types';
import type { CustomerId, EntryHostId, Milliseconds, TierRank } from '@rattanreel/core';

export interface MovingMean {
  add(value: number): void;
  get(): number;
}

export interface RouteTable {
  /** The route of the host with the longest prefix that begins the path. */
  tryMatch(hostName: string, path: string): Route | undefined;
}

export type QuotaAnswer =
  { readonly kind: 'within' } | { readonly kind: 'over'; readonly retryAfter: Milliseconds };

export interface SharedQuota {
  setQuotas(quotas: ReadonlyMap<CustomerId, Quota>, now: Milliseconds): void;
  /** Other hosts that exist, heard or not. */
  setPeers(peers: readonly EntryHostId[]): void;
  /** Takes in what another host has spent since its process started. */
  hear(report: {
    readonly from: EntryHostId;
    readonly incarnation: string;
    readonly spent: Readonly<Record<CustomerId, number>>;
    readonly now: Milliseconds;
  }): void;
  trySpend(customer: CustomerId, cost: number, now: Milliseconds): QuotaAnswer;
  /** Gives back the cost of a request that did not run. */
  giveBack(customer: CustomerId, cost: number): void;
  /** What this process has spent since its start, by customer. */
  spent(): Readonly<Record<CustomerId, number>>;
}

export interface PlaceCounts {
  /** Places of usable servers over all hosts, and those taken. */
  readonly places: number;
  readonly taken: number;
  /** Places taken by requests of a tier, over all hosts. */
  readonly getTakenBy: (tier: TierRank) => number;
}

export type PlaceClaim =
  /** The tier has less than its floor: it goes before others. */
  | 'belowFloor'
  | 'free'
  /** The places left are kept for more urgent tiers. */
  | 'kept';
