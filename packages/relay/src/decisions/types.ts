import type { ListedServer, Priority, Quota, QuotaFigures, Route } from '../types';
import type {
  BackendServerId,
  CustomerId,
  EntryHostId,
  Milliseconds,
  TierRank,
} from '@rattanreel/core';

export interface MovingAverage {
  add(value: number): void;
  get(): number;
}

/** What an estimate says, how many samples it has had, and the age of the newest, if any. */
export interface EstimateFigures {
  readonly expected: number;
  readonly samples: number;
  readonly age?: Milliseconds;
}

/** A learned figure that may refuse work. */
export interface Estimate {
  add(value: number, now: Milliseconds): void;
  get(): number;
  /** Returns the figure, nearer to what is expected without samples the older the newest one is. */
  getDecayed(now: Milliseconds): number;
  isFresh(now: Milliseconds): boolean;
  /** Gives what was learnt until now the weight of one sample. */
  doubt(): void;
  getFigures(now: Milliseconds): EstimateFigures;
}

/** What becomes of a request that an estimate would refuse. */
export type EstimateOverride = 'refuse' | 'serveLate' | 'tryOut';

/** How a trial ended. */
export type TrialEnd =
  | { readonly kind: 'served' }
  /** Nothing was sent. */
  | { readonly kind: 'unused' }
  | { readonly kind: 'failed'; readonly placesPerHost: number };

/** Lets requests through against an estimate, a bounded number at a time. */
export interface TrialGate {
  isOpen(now: Milliseconds, isRepeatable: boolean): boolean;
  begin(now: Milliseconds): void;
  end(end: TrialEnd, now: Milliseconds): void;
}

export interface RouteTable {
  /** Returns the route of the host name with the longest prefix of the path, if any. */
  tryMatch(hostName: string, path: string): Route | undefined;
}

export type QuotaDecision =
  | { readonly kind: 'within' }
  | { readonly kind: 'over'; readonly retryAfter: Milliseconds; readonly figures: QuotaFigures };

export interface ServerEmbargo {
  /** Records that a server announced that it is leaving. */
  recordLeaving(server: ListedServer, now: Milliseconds): void;
  /** Records that a server wants nothing from this host for a time. */
  recordTurnedAway(server: ListedServer, retryAfter: Milliseconds, now: Milliseconds): void;
  isEmbargoed(server: ListedServer, now: Milliseconds): boolean;
  list(now: Milliseconds): readonly BackendServerId[];
  /** Ends the embargo on names that another process of the list has taken over. */
  retainServers(servers: ReadonlyMap<BackendServerId, ListedServer>): void;
}

export interface SharedQuota {
  setQuotas(quotas: ReadonlyMap<CustomerId, Quota>, now: Milliseconds): void;
  /** Sets the number of hosts of the fleet, and of those for which this host spends. */
  setFleet(fleet: { readonly fleetHosts: number; readonly ownHosts: number }): void;
  /** Records what another host has spent since its process started. */
  recordHostSpending(report: {
    readonly from: EntryHostId;
    readonly incarnation: string;
    /** Number of hosts for which it spends; 0 for a host that this one schedules. */
    readonly hosts: number;
    readonly spent: Readonly<Record<CustomerId, number>>;
    readonly now: Milliseconds;
  }): void;
  trySpend(customer: CustomerId, cost: number, now: Milliseconds): QuotaDecision;
  /** Refunds the cost of a request that did not run. */
  refund(customer: CustomerId, cost: number): void;
  /**
   * Returns what this process has spent since its start, by customer. `now` is given if it is then
   * sent to the other hosts.
   */
  getSpent(now?: Milliseconds): Readonly<Record<CustomerId, number>>;
}

/** What was spent within the last seconds. */
export interface SpendingWindow {
  add(cost: number, now: Milliseconds): void;
  get(now: Milliseconds): number;
}

export interface SlotCounts {
  /** Slots of usable servers, and those in use by all hosts. */
  readonly total: number;
  readonly inUse: number;
  /** Slots that requests can hold on average within the limits that servers name. */
  readonly sustained: number;
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
