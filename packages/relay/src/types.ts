/** Shared types of the relay: routes, pools, backend servers, customers, and peer messages. */
import type {
  BackendServerId,
  Clock,
  CustomerId,
  EntryHostId,
  FailureDomainId,
  Incarnation,
  Milliseconds,
  PoolId,
  Random,
  RequestId,
  TierRank,
  VersionId,
} from '@rattanreel/core';
import type { IntakeOptions } from '@rattanreel/connections';
import type { ErrorRecorder, Logger } from '@rattanreel/observability';

/** Identifier of a part of a prompt; equal parts of two prompts have the same one. */
export type PromptPartId = string;

/** Identifier of a request's content, which names it without revealing it. */
export type ContentId = `content:${string}`;

/** Identifier of what a request shares with others, and what may be why servers end under it. */
export type TraitId = PromptPartId | ContentId;

/**
 * Determines which requests may be retried after they may have run: `idempotent` calls may, `once`
 * calls may not, and a `stream` may only if its route is resumable.
 */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A pool that a route may select, with its share of the route's requests. */
export interface RouteTarget {
  readonly pool: PoolId;
  readonly weight: number;
}

/** A rule that maps requests for one host name and path prefix to pools. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time until the response must be complete. */
  readonly timeout: Milliseconds;
  /** Target time to the response, or to the first event of a stream. */
  readonly objective: Milliseconds;
  readonly tier: TierRank;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of backend servers to which one request may be sent. */
  readonly maximumAttempts: number;
  /** Whether callers may omit the key. */
  readonly isAnonymous: boolean;
  /** Whether an interrupted stream may be resumed at another backend server. */
  readonly isResumable: boolean;
}

export interface PoolSettings {
  readonly name: PoolId;
  /** Maximum connections that one backend server accepts from all hosts together. */
  readonly maximumConnections: number;
  /** Time for which a backend server counts as cold after its start. */
  readonly coldTime: Milliseconds;
  /** Requests per second that a cold backend server can handle; 0 means no limit. */
  readonly coldRate: number;
  /** Capacity of a model engine's memory in tokens; undefined for a plain service. */
  readonly memoryTokens: number | undefined;
  /** Absent if the number of backend servers is not this system's to order. */
  readonly autoscale?: AutoscaleSettings | undefined;
}

/** Limits of the number of backend servers that are ordered for a pool. */
export interface AutoscaleSettings {
  /** Smallest and largest number of servers in each failure domain. */
  readonly minimum: number;
  readonly maximum: number;
  /** Time until a new server serves. */
  readonly bootTime: Milliseconds;
}

/** Token bucket limit of one customer, over all hosts together. */
export interface Quota {
  /** Cost units per second; see {@link Quota.countsTokens} for the cost of a request. */
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Whether a request costs its number of tokens; otherwise each request costs 1. */
  readonly countsTokens: boolean;
  /** Cost of a request without a token count. */
  readonly plainCost: number;
}

export interface RelayCustomer {
  readonly name: CustomerId;
  readonly keys: readonly string[];
  /** Takes precedence over the route's tier in the order of service. */
  readonly tier: TierRank | undefined;
  readonly quota: Quota | undefined;
  /** Share of scarce slots relative to the other customers; 1 if absent. */
  readonly weight?: number | undefined;
}

/** Limits on the size of a caller's request and on how long its connection may stay idle. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

/** Bounds on the connections of load balancers and scrapers, each endpoint for itself. */
export interface CheckIntake extends Pick<IntakeOptions, 'clock' | 'memory' | 'onEnd'> {
  readonly maximumConnections: number;
}

/** One version of everything that operators configure. */
export interface RelayConfiguration {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: readonly PoolSettings[];
  readonly limits: CallerLimits;
  /** Undefined when requests carry no keys. */
  readonly customers: readonly RelayCustomer[] | undefined;
}

/** A backend server as the platform lists it. */
export interface ListedServer {
  readonly id: BackendServerId;
  readonly pool: PoolId;
  /** IP:PORT. */
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  readonly version: VersionId;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time for which the server counts as cold, from the moment it is listed. */
  readonly coldFor: Milliseconds;
  /** Start time in Unix milliseconds; distinguishes two processes with the same id. */
  readonly startedAt: number | undefined;
}

/** Why an entry of the platform's list names no backend server to use. */
export type ServerDefect = 'identifier' | 'address' | 'name' | 'slots';

export type RolloutState = 'running' | 'complete' | 'rolledBack';

/** An operator's order to move a pool's requests to servers of another version. */
export interface Rollout {
  /** Name of the platform's object. */
  readonly name: string;
  readonly pool: PoolId;
  /** Version to which the requests are to be moved. */
  readonly version: VersionId;
  /** Time that the move may take. */
  readonly duration: Milliseconds;
  /** Version of the store at which it was ordered; tells two orders for one version apart. */
  readonly orderedAt: number;
  /** What was last written about it; undefined if nothing was. */
  readonly state: RolloutState | undefined;
  /** Version of the platform's object, for the next write. */
  readonly objectVersion: number;
}

/** Identifies one process of a backend server. */
export type ServerProcess = Pick<ListedServer, 'id' | 'startedAt'>;

/** Another entry host. */
export interface PeerAddress {
  readonly entryHost: EntryHostId;
  readonly address: string;
  readonly failureDomain: FailureDomainId;
  /** Processor cores that the host may use; 0 if unknown. */
  readonly capacity: number;
}

/** Limits that apply to all hosts together, from the platform's settings. */
export interface RelayBounds {
  /** Retries allowed per request of a pool. */
  readonly retryRatio: number;
  readonly retryWindow: Milliseconds;
  /** Retries allowed in each window in addition to the ratio. */
  readonly retrySlack: number;
  /** Cost by which the spending of one customer may exceed its quota in a window. */
  readonly quotaSlack: number;
  /** Share of a quota by which that spending may exceed it as well; absent: 0. */
  readonly quotaOver?: number;
  /** Time over which spending is counted against a quota; used with `quotaOver`. */
  readonly quotaWindow?: Milliseconds;
  /** Share of a pool's requests, and requests beyond it, that a version on trial may get. */
  readonly exposeShare: number;
  readonly exposeSlack: number;
  /** Factor applied to the rate of a cold server. */
  readonly coldFactor: number;
  /** Requests per second allowed to a cold server in addition to that rate. */
  readonly coldSlack: number;
  /** Time within which the process must exit after a stop is requested. */
  readonly shutdownGracePeriod: Milliseconds;
}

/** Names, in lower case, of the headers used between callers, hosts and backend servers. */
export interface HeaderNames {
  readonly requestId: string;
  /** Time in milliseconds for which the caller waits. */
  readonly deadline: string;
  readonly key: string;
  /** Name of the customer, forwarded to backend servers. */
  readonly customer: string;
  /** `PROMPT,OUTPUT`: tokens of the prompt, and the maximum tokens of the response. */
  readonly tokenCount: string;
  /** The caller's estimate of the response length in tokens. */
  readonly lengthHint: string;
  /** `ID:TOKENS,...`: the parts of the prompt in order, as a server caches them. */
  readonly promptParts: string;
  /** Identifier of the only backend server that may run the request. */
  readonly expectedServer: string;
  /** Present in a response if the backend server did not run the request. */
  readonly notRun: string;
  /** `RUNNING,WAITING,SLOTS` of the responding backend server. */
  readonly load: string;
  /** Requests per second that the responding backend server takes from all hosts together. */
  readonly limit: string;
  /**
   * Requests that the responding backend server may turn away for want of room in a second before it
   * falls over; present while the servers of its pool are brittle.
   */
  readonly brittle: string;
  /** Present in the responses of a backend server that is leaving. */
  readonly leaving: string;
  /** Seconds for which a backend server that turned a request away wants no other one. */
  readonly retryAfter: string;
  /** Identifier of the last event received, after which a resumed stream continues. */
  readonly lastEventId: string;
  /** Headers that callers may not set. */
  readonly reserved: ReadonlySet<string>;
}

/** How one attempt at a backend server ended. */
export type AttemptOutcome =
  /** The request was stopped before its first byte was written. */
  | { readonly kind: 'notSent'; readonly reason: 'deadlinePassed' | 'callerGone' | 'stopping' }
  /** No connection was established, so no byte was written. */
  | { readonly kind: 'notConnected' }
  /** The backend server reported that it did not run the request. */
  | {
      readonly kind: 'notRun';
      readonly status: number;
      /** Time for which the backend server wants no other request from this host. */
      readonly retryAfter?: Milliseconds;
    }
  /** The complete response was received. */
  | { readonly kind: 'whole'; readonly status: number }
  /** The connection failed or the response was not for this request, which may have run. */
  | { readonly kind: 'broken'; readonly reason: string }
  /** This host aborted the attempt. */
  | { readonly kind: 'aborted'; readonly reason: AbortReason };

export type AbortReason =
  | 'callerGone'
  | 'timeout'
  | 'silent'
  | 'stop'
  | 'quarantined'
  /** Another copy of the request was answered first. */
  | 'superseded';

/** Measurements of one attempt. */
export interface AttemptFigures {
  readonly end: AttemptOutcome;
  readonly duration: Milliseconds;
  readonly firstDataAfter: Milliseconds | undefined;
  /** Number of data chunks after the first, and the time over which they arrived. */
  readonly laterChunks: number;
  readonly laterTime: Milliseconds;
  /** Tokens of the response: the maximum, or the caller's estimate. */
  readonly outputTokens: number;
}

/** The figures of a quota on which a refusal is based, in its cost units. */
export interface QuotaFigures {
  /** Cost that the customer may still spend, as this host estimates it. */
  readonly level: number;
  readonly rate: number;
  readonly burst: number;
  readonly cost: number;
  /** Estimated spending of the other hosts within the window of the quota. */
  readonly othersSpent: number;
  /** Share of the quota that this host and those in reach may use. */
  readonly share: number;
}

/** Why a request was not sent to a backend server. */
export type RefusalReason =
  | 'overQuota'
  | 'expectedLate'
  | 'deadlinePassed'
  | 'noServer'
  | 'serverFull'
  | 'notConnected'
  /** A second copy was not granted a slot, since servers have no capacity to spare. */
  | 'noSpareCapacity'
  /** This host's event loop is so late that the request could not begin before its deadline. */
  | 'hostLate'
  /** This host stops before the response could be complete. */
  | 'stopping'
  /** This host has no memory for the body beside those of other requests. */
  | 'noMemory'
  /** Several servers have ended under one of the request's traits. */
  | 'quarantined';

/** Priority of a queued request. */
export interface Priority {
  /** Order of service; lower ranks are served first. */
  readonly rank: number;
  /** Order among requests below their tier's floor; ignores the length of the response. */
  readonly floorRank: number;
  /** Whether the caller was refused before, so that the response is late in any case. */
  readonly isReturning: boolean;
  /** Tier of the route; determines which part of a pool's slots the request may use. */
  readonly tier: TierRank;
  /** Latest time of the first response data at which the request is still worth serving. */
  readonly serveBy: Milliseconds;
  /**
   * Latest time of the first response data of a request that misses `serveBy`, as its caller waits
   * for it; undefined if such a request is refused instead.
   */
  readonly serveLateBy?: Milliseconds;
  /** Time after which the response is useless to the caller. */
  readonly deadlineAt: Milliseconds;
  /** Whether the request may run again; if absent it is not used to try a server out. */
  readonly isRepeatable?: boolean;
}

/** A request that waits for a slot at a backend server. */
export interface QueuedRequest {
  readonly id: RequestId;
  /** Undefined if requests carry no keys. */
  readonly customer?: CustomerId | undefined;
  readonly priority: Priority;
  /** Tokens of the response: the maximum, or the caller's estimate. */
  readonly outputTokens: number;
  /** Servers that have been tried already. */
  readonly excludedServers: ReadonlySet<BackendServerId>;
  onGranted(server: ServerState): void;
  onRefused(reason: RefusalReason): void;
}

/** State of one backend server as known to this host. */
export interface ServerState {
  listed: ListedServer;
  /** This host's requests in flight at the server. */
  ownInFlight: number;
  /** Requests in flight of the other hosts, according to their last messages. */
  peerInFlight: number;
  /**
   * Requests of other hosts in the server's last load report: its total less those of this host.
   */
  reportedPeerInFlight: number;
  reportedAt: Milliseconds;
  /**
   * Requests that the server may be given beyond its slots, so that no slot stays idle between two
   * peer messages; 0 after the server has refused a request.
   */
  extraSlots: number;
  /** Time per unit of work relative to the pool's average; 1 is average. */
  slowness: number;
  /** Whether the server announced in a response that it is leaving. */
  isLeaving: boolean;
  consecutiveFailures: number;
  /** Exponential moving average of the share of failed attempts. */
  failureRate: number;
  /** No request is sent to the server before this time. */
  backoffUntil: Milliseconds;
  /** Time until which the server counts as cold. */
  coldUntil: Milliseconds;
  /**
   * Earliest time of the next request while cold; undefined until the server is seen to be cold.
   */
  nextColdRequestAt: Milliseconds | undefined;
  /**
   * Slots of the server that this host may use; undefined while its pool is not brittle, so that
   * hosts share all slots.
   */
  ownSlots: number | undefined;
  /** When this host may send requests; undefined while the server names no limit. */
  pacing: LimitPacing | undefined;
}

/** How a host keeps to its share of the limit that a server names. */
export interface LimitPacing {
  /** Requests per second that the server takes from all hosts together. */
  readonly rate: number;
  /** Time between two requests of this host. */
  readonly interval: Milliseconds;
  /** Time from which on the next request may be sent, for a short while. */
  readonly nextAt: Milliseconds;
}

/** Slots of brittle servers lent between hosts. Counts only rise, so that the highest one holds. */
export interface SlotLoanReport {
  readonly incarnation: Incarnation;
  /** Digest of the hosts among which the sender divides all slots. */
  readonly owners: string;
  readonly partners: Readonly<
    Record<
      EntryHostId,
      {
        readonly incarnation: Incarnation;
        /** Slots that the sender has ever lent to the host, by address of the server. */
        readonly lent: Readonly<Record<string, number>>;
        /** Slots of the host that the sender has ever returned to it. */
        readonly returned: Readonly<Record<string, number>>;
      }
    >
  >;
}

/** A route tier and the name of a customer, between which there is a space. */
export type ShareKey = `${number} ${CustomerId}`;

/** Slots in use by customer: the largest users, and the sum of the others. */
export interface CustomerUse {
  readonly largest: Readonly<Record<ShareKey, number>>;
  readonly others: number;
  /** Queued requests that were not refused before, of the customers that use fewest slots. */
  readonly waiting: Readonly<Record<ShareKey, number>>;
}

/** Slots in use and queued requests of the other hosts, by customer. */
export interface PeerCustomerUse {
  readonly inUse: ReadonlyMap<ShareKey, number>;
  readonly waiting: ReadonlyMap<ShareKey, number>;
}

/** State that a host sends to its peers several times per second. */
export interface HostSummary extends ClusterStateVersions {
  readonly kind: 'summary';
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
  readonly address: string;
  readonly capacity: number;
  /** Requests in flight by backend server. */
  readonly inFlight: Readonly<Record<BackendServerId, number>>;
  /** Requests in flight by pool and route tier. */
  readonly tiers: Readonly<Record<PoolId, Readonly<Record<string, number>>>>;
  /** Queued requests by pool and rank. */
  readonly waiting: Readonly<Record<PoolId, Readonly<Record<string, number>>>>;
  /** Cost spent since the process started, by customer. */
  readonly spent: Readonly<Record<CustomerId, number>>;
  /** Number of hosts whose requests this one schedules, including itself. */
  readonly hosts: number;
  /** Backend servers that announced in a response that they are leaving. */
  readonly leaving?: readonly ServerProcess[];
  /** Slots in use by customer, for the pools whose slots are scarce. */
  readonly customers?: Readonly<Record<PoolId, CustomerUse>>;
  /** Slots of brittle servers that are lent; absent if no pool is brittle. */
  readonly loans?: SlotLoanReport;
  /** Event loop delay of the host; absent if unknown. */
  readonly loopDelay?: Milliseconds;
  /**
   * Slowdowns that backend servers reported, with their age, of servers that were slow of late;
   * absent if none is known.
   */
  readonly speeds?: Readonly<
    Record<BackendServerId, readonly [slowdown: number, age: Milliseconds]>
  >;
  /** Usage that changed; absent where no usage is reported, or none is due. */
  readonly usage?: UsageReport;
}

/** Requests that began to run, as one host counted them. Counts of a window only rise. */
export interface UsageRow {
  readonly host: EntryHostId;
  readonly incarnation: Incarnation;
  /** Unix milliseconds at which the host began to count. */
  readonly since: number;
  /** Window in which the host counts; it counts no more in earlier ones. */
  readonly current: number;
  /** All requests of each of the last windows, changed or not; a window without any is absent. */
  readonly totals: Readonly<Record<string, number>>;
  /** Requests by customer, only of windows whose counts changed. */
  readonly windows: Readonly<Record<string, Readonly<Record<CustomerId, number>>>>;
}

/** Usage counted by the sender and by hosts whose counts it passes on. */
export interface UsageReport {
  /** The sender's time by which its windows advance, in Unix milliseconds. */
  readonly time: number;
  readonly rows: readonly UsageRow[];
  /** Hosts whose totals the sender knows but not all of their counts; absent if there are none. */
  readonly incomplete?: readonly EntryHostId[] | undefined;
}

/** Changes at a host since its last message; sent more often than complete summaries. */
export interface HostChange {
  readonly kind: 'change';
  readonly entryHost: EntryHostId;
  /** Requests in flight, only for the backend servers whose count changed. */
  readonly inFlight: Readonly<Record<BackendServerId, number>>;
  readonly tiers: HostSummary['tiers'];
  readonly waiting: HostSummary['waiting'];
  readonly loans?: SlotLoanReport;
  /** Only slowdowns that changed. */
  readonly speeds?: HostSummary['speeds'];
  readonly customers?: HostSummary['customers'];
}

/** Versions of the state known to a host. They never decrease; -1 means nothing is known yet. */
export interface ClusterStateVersions {
  readonly configurationVersion: number;
  readonly serversVersion: number;
  readonly evacuatedVersion: number;
  /** Version of the list of registered hosts. */
  readonly rosterVersion: number;
  /** Version of the list of roll-outs; absent if unknown. */
  readonly rolloutsVersion?: number;
  /** Rises each time that the store returns from an older copy; absent if unknown. */
  readonly storeEra?: number;
}

/** Query by which a host asks a peer for the parts of its cluster state that are newer. */
export interface PeerQuery extends ClusterStateVersions {
  readonly kind: 'beliefs';
}

/**
 * State of the cluster as a host knows it from the platform. In a response to a peer, parts that the
 * peer knows already are undefined.
 */
export interface ClusterState extends ClusterStateVersions {
  readonly configuration: RelayConfiguration | undefined;
  readonly servers: readonly ListedServer[] | undefined;
  readonly evacuated: readonly FailureDomainId[] | undefined;
  /** All registered hosts; undefined until listed. */
  readonly peers: readonly PeerAddress[] | undefined;
  /** All roll-outs that are ordered; undefined until listed. */
  readonly rollouts?: readonly Rollout[] | undefined;
}

/** Delivers the cluster state from the platform, and its changes. */
export interface ClusterStateSource {
  /** Watches the platform until the returned function is called. */
  watch(listener: (change: ClusterStateChange) => void): () => void;
  /**
   * Lists the registered hosts as the platform knows them. The list may be seconds old; `undefined`
   * means that the platform does not respond.
   */
  listPeers(): Promise<ListedPeers | undefined>;
  /** Registers this host for its peers; returns false unless it is known to be registered. */
  register(peer: PeerAddress): Promise<boolean>;
  /** Writes the state of a roll-out; returns false unless it is known to be written. */
  recordRollout(rollout: Rollout, state: RolloutState): Promise<boolean>;
  close(): Promise<void>;
}

/** The registered hosts with the version of their list. */
export interface ListedPeers {
  readonly peers: readonly PeerAddress[];
  readonly version: number;
}

export type ClusterStateChange =
  | { readonly kind: 'configuration'; readonly configuration: RelayConfiguration }
  | {
      readonly kind: 'servers';
      readonly servers: readonly ListedServer[];
      readonly version: number;
    }
  | {
      readonly kind: 'evacuated';
      readonly failureDomains: readonly FailureDomainId[];
      readonly version: number;
    }
  | { readonly kind: 'rollouts'; readonly rollouts: readonly Rollout[]; readonly version: number }
  | { readonly kind: 'peers'; readonly peers: readonly PeerAddress[]; readonly version: number }
  /** The store's era, which rises each time that it returns from an older copy. */
  | { readonly kind: 'storeEra'; readonly era: number }
  | { readonly kind: 'storeLost'; readonly subject: string; readonly reason: string }
  | { readonly kind: 'storeRegained'; readonly subject: string };

export interface RelayContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** The hosts that grant slots, and the size of the fleet. */
export interface SlotSharing {
  /** Hosts that grant slots, this one included if it does. */
  readonly grantingHosts: readonly EntryHostId[];
  /** Among whom the slots of brittle servers are divided: hosts, or failure domains. */
  readonly slotOwners: readonly string[];
  /** Which of them this host is; undefined if none of these slots is its own. */
  readonly ownSlotOwner: string | undefined;
  /** The other registered hosts. */
  readonly registeredHosts: readonly EntryHostId[];
  readonly fleetHosts: number;
  /** Number of hosts for whose requests this one grants slots, including itself. */
  readonly ownHosts: number;
}

/** What a host does for its fleet. */
export interface FleetRole {
  /** Whether the fleet is large, so that one host schedules each failure domain. */
  readonly isLarge: boolean;
  /** Whether this host grants slots: to itself, and perhaps to other hosts of its domain. */
  readonly isGranting: boolean;
  /** Whether this host watches the store because its scheduler cannot reach it. */
  readonly isStoreSubstitute: boolean;
  /** Number of hosts whose requests this one schedules, including itself. */
  readonly ownHosts: number;
  readonly fleetHosts: number;
}

/** A running relay. */
export interface RelayHost {
  readonly recordError: ErrorRecorder;
  /** Applies limits that were changed by a reload of the settings. */
  applyBounds(bounds: RelayBounds): void;
  /**
   * Shuts down gracefully. Resolves when no request is in flight any more or the grace period is
   * over.
   */
  stop(): Promise<void>;
}

export interface ClusterStateCache {
  /** Applies a change received from the platform. */
  apply(change: ClusterStateChange): void;
  /** Merges the parts of a peer's state that are newer. */
  merge(state: ClusterState): void;
  /** Returns the state, without the parts whose versions are not newer than these. */
  getSince(versions: ClusterStateVersions): ClusterState;
  /** Adds or updates the address of a host from which a message was received. */
  upsertPeer(peer: PeerAddress): void;
  /** Forgets which store subjects were unreachable; called once the store is no longer watched. */
  clearUnreachableSubjects(): void;
  get(): ClusterState;
  /** Returns the versions of the state. Cheap: called for each message and each readiness check. */
  getVersions(): ClusterStateVersions;
  /** Counts the entries of the server list that name no backend server to use, by defect. */
  countIgnoredServers(): ReadonlyMap<ServerDefect, number>;
  readonly evacuated: ReadonlySet<FailureDomainId>;
  readonly isStoreReachable: boolean;
  /** Whether this host is among the registered hosts. */
  readonly isRegistered: boolean;
  stop(): void;
}

export interface PeerTable {
  /**
   * Records a complete summary, or a change to the last one; returns whether its host was not
   * reachable before.
   */
  record(message: HostSummary | HostChange, now: Milliseconds): boolean;
  /** Counts the requests in flight of the other hosts, by backend server. */
  countInFlight(now: Milliseconds): ReadonlyMap<BackendServerId, number>;
  /** Counts the requests in flight of the other hosts in a pool, by route tier. */
  countByTier(pool: PoolId, now: Milliseconds): ReadonlyMap<TierRank, number>;
  /** Counts the queued requests of the other hosts in a pool, by rank. */
  countQueued(pool: PoolId, now: Milliseconds): ReadonlyMap<number, number>;
  /** Sums the slots in use and the queued requests of the other hosts in a pool, by customer. */
  sumCustomerUse(pool: PoolId, now: Milliseconds): PeerCustomerUse;
  /** Returns the last summaries of the hosts that are reachable. */
  listReachable(now: Milliseconds): readonly HostSummary[];
  /** Returns the number of reachable hosts and the age of the oldest of their last messages. */
  getFreshness(now: Milliseconds): { readonly hosts: number; readonly oldest: Milliseconds };
}
