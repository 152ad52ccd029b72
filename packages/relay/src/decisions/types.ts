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
  /** The route of the host with the longest prefix that begins the path. */
  tryMatch(hostName: string, path: string): Route | undefined;
}

export type QuotaDecision =
  { readonly kind: 'within' } | { readonly kind: 'over'; readonly retryAfter: Milliseconds };

export interface SharedQuota {
  setQuotas(quotas: ReadonlyMap<CustomerId, Quota>, now: Milliseconds): void;
  /** Other hosts that exist, heard or not. */
  setPeers(peers: readonly Pick<PeerAddress, 'entryHost' | 'failureDomain'>[]): void;
  /** Takes in what another host has spent since its process started. */
  recordHostSpending(report: {
    readonly from: EntryHostId;
    readonly incarnation: string;
    readonly spent: Readonly<Record<CustomerId, number>>;
    readonly now: Milliseconds;
  }): void;
  /** Takes in what the hosts of another failure domain have spent together. */
  recordDomainSpending(report: DomainReport, now: Milliseconds): void;
  trySpend(customer: CustomerId, cost: number, now: Milliseconds): QuotaDecision;
  /** Gives back the cost of a request that did not run. */
  refund(customer: CustomerId, cost: number): void;
  /** What this process has spent since its start, by customer. */
  getSpent(): Readonly<Record<CustomerId, number>>;
  /** The same with what hosts heard directly have spent meanwhile, and the number of these with this one. */
  getReachableSpent(now: Milliseconds): Pick<DomainReport, 'hosts' | 'spent'>;
}

export interface SlotCounts {
  /** Places of usable servers over all hosts, and those taken. */
  readonly total: number;
  readonly inUse: number;
  /** Places taken by requests of a tier, over all hosts. */
  readonly getTierInUse: (tier: TierRank) => number;
}

/** Requests that are treated alike when places are shared out. */
export type SlotRequester = Pick<Priority, 'tier' | 'isReturning'>;

export type SlotEligibility =
  /** The tier has less than its floor: it goes before others. */
  | 'belowFloor'
  | 'free'
  /** The places left are kept for more urgent tiers. */
  | 'kept';

export interface RequestClassifier {
  /** Judges a request that comes now, and learns from it. */
  classify(request: {
    /** Name of its route. */
    readonly route: string;
    /** Time that its caller still has. */
    readonly deadline: Milliseconds;
    readonly outputTokens: number;
    readonly now: Milliseconds;
  }): {
    /** Whether it was refused before: its caller has waited, so its answer is late already. */
    readonly isReturning: boolean;
    /** Whether its answer is much longer than the route's usual one. */
    readonly isLong: boolean;
  };
  recordRefusal(route: string, now: Milliseconds): void;
  /** Forgets all routes but these. */
  retainRoutes(routes: ReadonlySet<string>): void;
}

export interface DomainReports {
  /** Takes a report in; returns the last one of the same reporter. */
  record(report: DomainReport, now: Milliseconds): DomainReport | undefined;
  /** The report that counts for a failure domain; undefined when it is silent. */
  tryGet(domain: FailureDomainId, now: Milliseconds): DomainReport | undefined;
  /** One report for each domain in contact. */
  listCurrent(now: Milliseconds): readonly DomainReport[];
}
