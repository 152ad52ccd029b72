import type { ListedServer, Priority, Quota, QuotaFigures, Route, ServerState } from '../types';
import type {
  BackendServerId,
  CustomerId,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  Random,
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
  | { readonly kind: 'within' }
  | { readonly kind: 'over'; readonly retryAfter: Milliseconds; readonly figures: QuotaFigures };

export interface QuotaPreview {
  readonly decision: QuotaDecision;
  /** Undefined if the customer has no quota. */
  readonly figures: QuotaFigures | undefined;
}

/** Why a server gets no request at all. */
export type UnusableReason =
  | 'draining'
  /** It announced in a response that it is leaving. */
  | 'leaving'
  | 'domainEvacuated'
  /** It failed a short while ago. */
  | 'backoff'
  /** It asked this host to send nothing for a time, or its version is rolled back. */
  | 'embargoed';

/** Why a server gets no request at this moment. */
export type NotReadyReason =
  | UnusableReason
  /** The next request within the limit that it names is not due yet. */
  | 'limitReached'
  /** Its version is on trial and has had its share of the requests. */
  | 'onTrial'
  | 'cold';

/** Why a request is not sent to a server. */
export type PassedOverReason =
  | NotReadyReason
  /** The request was sent there before. */
  | 'tried'
  | 'full'
  /** Other servers are expected to meet the deadline. */
  | 'tooSlowForDeadline'
  /** Another server is preferred. */
  | 'higherCost';

export interface UsableServerOptions {
  readonly now: Milliseconds;
  readonly evacuated: ReadonlySet<FailureDomainId>;
  readonly embargo: Pick<ServerEmbargo, 'isEmbargoed'>;
}

export interface ReadyServerOptions extends UsableServerOptions {
  /** Returns whether a server whose version is on trial may get a request now. */
  readonly mayTry?: (server: ServerState) => boolean;
}

export interface ChooseServerOptions extends ReadyServerOptions {
  readonly servers: readonly ServerState[];
  readonly random: Random;
  readonly ownDomain: FailureDomainId;
  readonly excludedServers: ReadonlySet<BackendServerId>;
  /** Returns the slowdown to expect of a server; 1 is usual. */
  readonly getSlowdown?: (server: ServerState) => number;
  /**
   * Returns whether the request is expected to meet its deadline at a server; ignored if no usable
   * server can meet it.
   */
  readonly canMeetDeadline?: (server: ServerState) => boolean;
}

/** A server as considered for a request. */
export interface ServerAssessment {
  readonly server: ServerState;
  readonly slowdown: number;
  readonly isInTime: boolean;
  /** Cost without its random term; the lowest one is chosen. */
  readonly cost: number;
  /** Undefined for the server that is chosen. */
  readonly passedOver: PassedOverReason | undefined;
}

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
  /** Returns what `trySpend` would decide, and the figures of the quota; spends nothing. */
  preview(customer: CustomerId, cost: number, now: Milliseconds): QuotaPreview;
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

export interface ClassifiedRequest {
  /** Name of its route. */
  readonly route: string;
  /** Time left until the caller's deadline. */
  readonly deadline: Milliseconds;
  readonly outputTokens: number;
  readonly now: Milliseconds;
}

export interface RequestClass {
  /** Whether it was refused before: its caller has waited, so its response is late already. */
  readonly isReturning: boolean;
  /** Whether its response is much longer than is usual for the route. */
  readonly isLong: boolean;
}

export interface RequestClassifier {
  /** Classifies an arriving request and adds it to the statistics of its route. */
  classify(request: ClassifiedRequest): RequestClass;
  /** Returns what `classify` would, without adding the request to the statistics. */
  preview(request: ClassifiedRequest): RequestClass;
  recordRefusal(route: string, now: Milliseconds): void;
  /** Deletes the statistics of all other routes. */
  retainRoutes(routes: ReadonlySet<string>): void;
}
