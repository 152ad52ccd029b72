import type { DomainReport, PeerAddress, Quota, Route, Priority } from '../types';
import type {
  CustomerId,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  TierRank,
} from '@rattanreel/core';

export interface MovingAverage {
  add(value: number): void;
  get(): number;
}

export interface RouteTable {
  /** Returns the route of the host name with the longest prefix of the path, if any. */
  tryMatch(hostName: string, path: string): Route | undefined;
}

export type QuotaDecision =
  { readonly kind: 'within' } | { readonly kind: 'over'; readonly retryAfter: Milliseconds };

export interface SharedQuota {
  setQuotas(quotas: ReadonlyMap<CustomerId, Quota>, now: Milliseconds): void;
  /** Sets the other hosts of the fleet, reachable or not. */
  setPeers(peers: readonly Pick<PeerAddress, 'entryHost' | 'failureDomain'>[]): void;
  /** Records what another host has spent since its process started. */
  recordHostSpending(report: {
    readonly from: EntryHostId;
    readonly incarnation: string;
    readonly spent: Readonly<Record<CustomerId, number>>;
    readonly now: Milliseconds;
  }): void;
  /** Records what the hosts of another failure domain have spent together. */
  recordDomainSpending(report: DomainReport, now: Milliseconds): void;
  trySpend(customer: CustomerId, cost: number, now: Milliseconds): QuotaDecision;
  /** Refunds the cost of a request that did not run. */
  refund(customer: CustomerId, cost: number): void;
  /** Returns what this process has spent since its start, by customer. */
  getSpent(): Readonly<Record<CustomerId, number>>;
  /**
   * Returns what this process, and the hosts whose summaries it receives directly, have spent since
   * its start, and the number of those hosts including this one.
   */
  getReachableSpent(now: Milliseconds): Pick<DomainReport, 'hosts' | 'spent'>;
}

export interface SlotCounts {
  /** Slots of usable servers, and those in use by all hosts. */
  readonly total: number;
  readonly inUse: number;
  /** Returns the slots in use by requests of a tier, over all hosts. */
  readonly getTierInUse: (tier: TierRank) => number;
}

/** Properties of a request that determine its share of the slots. */
export type SlotRequester = Pick<Priority, 'tier' | 'isReturning'>;

export type SlotEligibility =
  /** The tier uses less than its floor, so the request goes before others. */
  | 'belowFloor'
  | 'free'
  /** The remaining slots are kept for tiers of higher priority. */
  | 'kept';

export interface RequestClassifier {
  /** Classifies an arriving request and adds it to the statistics of its route. */
  classify(request: {
    /** Name of its route. */
    readonly route: string;
    /** Time left until the caller's deadline. */
    readonly deadline: Milliseconds;
    readonly outputTokens: number;
    readonly now: Milliseconds;
  }): {
    /** Whether it was refused before: its caller has waited, so its response is late already. */
    readonly isReturning: boolean;
    /** Whether its response is much longer than is usual for the route. */
    readonly isLong: boolean;
  };
  recordRefusal(route: string, now: Milliseconds): void;
  /** Deletes the statistics of all other routes. */
  retainRoutes(routes: ReadonlySet<string>): void;
}

export interface DomainReports {
  /** Records a report; returns the previous one of the same reporter. */
  record(report: DomainReport, now: Milliseconds): DomainReport | undefined;
  /** Returns the report in force for a failure domain; undefined if the domain is unreachable. */
  tryGet(domain: FailureDomainId, now: Milliseconds): DomainReport | undefined;
  /** Lists one report for each reachable domain. */
  listCurrent(now: Milliseconds): readonly DomainReport[];
}
