/** Terms of the relay: routes, pools, backend servers, customers, and what hosts tell each other. */
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
import type { Logger } from '@rattanreel/observability';
import type { PoolQueue } from './pools/types';

/** What may be repeated: an idempotent call, a call that runs once, a stream that runs once unless resumable. */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A pool that a route may choose, with its share of the route's requests. */
export interface RouteTarget {
  readonly pool: PoolId;
  readonly weight: number;
}

/** A rule that leads requests of one host name and path prefix to pools. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a caller is kept waiting for the end of the answer. */
  readonly timeout: Milliseconds;
  /** Time to the answer, or to a stream's first event, that the route aims at. */
  readonly objective: Milliseconds;
  readonly tier: TierRank;
  readonly targets: readonly RouteTarget[];
  /** Backend servers to which one request may be sent. */
  readonly maximumAttempts: number;
  /** Whether callers need no key. */
  readonly isAnonymous: boolean;
  /** Whether a broken stream may go on at another backend server. */
  readonly isResumable: boolean;
}

export interface PoolSettings {
  readonly name: PoolId;
  /** Connections that one backend server accepts from all hosts together. */
  readonly maximumConnections: number;
  /** Time that a backend server stays cold after its start. */
  readonly coldTime: Milliseconds;
  /** Requests a second that a cold backend server bears; 0 when it bears any. */
  readonly coldRate: number;
  /** Tokens that a model engine's memory holds; undefined for a plain service. */
  readonly memoryTokens: number | undefined;
}

/** What a customer may ask for, over all hosts together. */
export interface Quota {
  /** Cost units a second; a request's cost is its tokens or 1. */
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Whether a request costs its tokens; otherwise each costs 1. */
  readonly countsTokens: boolean;
  /** Cost of a request that tells no token count. */
  readonly plainCost: number;
}

export interface RelayCustomer {
  readonly name: CustomerId;
  readonly keys: readonly string[];
  /** Goes before the route's tier. */
  readonly tier: TierRank | undefined;
  readonly quota: Quota | undefined;
}

/** Limits on what a caller may send and how long it may stay idle. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeout: Milliseconds;
  readonly idleTimeout: Milliseconds;
}

/** Everything that operators decide, as one version. */
export interface RelayConfiguration {
  /** Grows with each change. */
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
  /** Time for which it stays cold, counted from when it was listed. */
  readonly coldFor: Milliseconds;
  /** Unix millisecond of its start; tells two lives of one id apart. */
  readonly startedAt: number | undefined;
}

/** Another entry host. */
export interface PeerAddress {
  readonly entryHost: EntryHostId;
  readonly address: string;
  readonly failureDomain: FailureDomainId;
}

/** Bounds that hold over all hosts, from the platform's settings. */
export interface RelayBounds {
  /** Repeats allowed per request of a pool. */
  readonly retryRatio: number;
  readonly retryWindow: Milliseconds;
  /** Repeats allowed beyond the ratio in each window. */
  readonly retrySlack: number;
  /** Factor on a cold server's rate. */
  readonly coldFactor: number;
  /** Requests a second allowed to a cold server beyond that. */
  readonly coldSlack: number;
  /** Time within which a stopped process must have ended. */
  readonly shutdownGracePeriod: Milliseconds;
}

/** Names of the headers by which callers, hosts and backend servers talk. Lower case. */
export interface HeaderNames {
  readonly requestId: string;
  /** Milliseconds that the caller waits. */
  readonly deadline: string;
  readonly key: string;
  /** Name of the customer, told to backend servers. */
  readonly customer: string;
  /** `PROMPT,OUTPUT`: tokens of the prompt and at most of the answer. */
  readonly tokenCount: string;
  /** The caller's estimate of the answer's tokens. */
  readonly lengthHint: string;
  /** Identifier of the backend server that alone may run the request. */
  readonly expectedServer: string;
  /** Present when a backend server did not run the request. */
  readonly notRun: string;
  /** `RUNNING,WAITING,SLOTS` of the answering backend server. */
  readonly load: string;
  /** Where a resumed stream goes on. */
  readonly lastEventId: string;
  /** Headers that callers may not set. */
  readonly reserved: ReadonlySet<string>;
}

/** How one attempt at a backend server ended. */
export type AttemptOutcome =
  /** No connection was made, so no byte was written. */
  | { readonly kind: 'notConnected' }
  /** The backend server said that it did not run the request. */
  | { readonly kind: 'notRun'; readonly status: number }
  /** The answer, whole. */
  | { readonly kind: 'whole'; readonly status: number }
  /** The connection broke or what came was no answer to this request; it may have run. */
  | { readonly kind: 'broken'; readonly reason: string }
  /** This host ended the attempt. */
  | { readonly kind: 'aborted'; readonly reason: AbortReason };

export type AbortReason = 'callerGone' | 'timeout' | 'silent' | 'stop';

/** Why a request was not sent to a backend server. */
export type RefusalReason =
  'overQuota' | 'expectedLate' | 'deadlinePassed' | 'noServer' | 'serverFull' | 'notConnected';

/** How urgent a waiting request is. */
export interface Priority {
  /** Order of service: lower goes first. */
  readonly rank: number;
  /** Order among the requests that share a tier's floor; the length of the answer does not count. */
  readonly floorRank: number;
  /** Whether its caller was refused before, so that the answer is late in any case. */
  readonly isReturning: boolean;
  /** Tier of the route; decides how much of a pool the request may fill. */
  readonly tier: TierRank;
  /** Latest time of the first answer for which the request is worth serving. */
  readonly serveBy: Milliseconds;
  /** Time at which the answer is of no use any more. */
  readonly deadlineAt: Milliseconds;
}

/** A request that waits for a backend server. */
export interface QueuedRequest {
  readonly id: RequestId;
  readonly priority: Priority;
  /** Tokens of its answer, at most or as its caller expects. */
  readonly outputTokens: number;
  /** Servers that have been tried. */
  readonly excludedServers: ReadonlySet<BackendServerId>;
  onGranted(server: ServerState): void;
  onRefused(reason: RefusalReason): void;
}

/** What this host knows of one backend server. */
export interface ServerState {
  listed: ListedServer;
  /** Requests that this host has at the server. */
  ownInFlight: number;
  /** Requests of the other hosts, by their last summaries. */
  peerInFlight: number;
  /** Requests at the server when it last told its load, less those of this host. */
  reportedPeerInFlight: number;
  reportedAt: Milliseconds;
  /**
   * Requests beyond its places that it may be given, so that no place stands empty between two
   * messages; none once it turned one away.
   */
  extraSlots: number;
  /** Time per unit of work against the pool's mean; 1 is average. */
  slowness: number;
  /** Consecutive failures. */
  consecutiveFailures: number;
  /** Share of failed attempts, smoothed. */
  failureRate: number;
  /** No request goes there before this time. */
  backoffUntil: Milliseconds;
  /** Cold until this time. */
  coldUntil: Milliseconds;
  /** Earliest time of the next request while cold; undefined until it is found cold. */
  nextColdRequestAt: Milliseconds | undefined;
}

/** What a host tells the others several times a second. */
export interface HostSummary extends ClusterStateVersions {
  readonly kind: 'summary';
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomainId;
  readonly address: string;
  /** Requests in flight by backend server. */
  readonly inFlight: Readonly<Record<BackendServerId, number>>;
  /** Requests in flight by pool and route tier. */
  readonly tiers: Readonly<Record<PoolId, Readonly<Record<string, number>>>>;
  /** Requests that wait, by pool and rank. */
  readonly waiting: Readonly<Record<PoolId, Readonly<Record<string, number>>>>;
  /** Cost spent since the process started, by customer. */
  readonly spent: Readonly<Record<CustomerId, number>>;
  /** In a large fleet, what other failure domains told this host lately. */
  readonly farReports?: readonly DomainReport[];
}

/** What the hosts of a failure domain do and have spent together; told to other domains in a large fleet. */
export interface DomainReport {
  readonly kind: 'domain';
  readonly failureDomain: FailureDomainId;
  /** The host that adds up, and the life of its process, from whose start it counts. */
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  /** Hosts that are in it. */
  readonly hosts: number;
  readonly spent: Readonly<Record<CustomerId, number>>;
  /** Their requests in flight by backend server. */
  readonly inFlight: Readonly<Record<BackendServerId, number>>;
}

/** What changed at a host since its last message; sent more often than whole summaries. */
export interface HostChange {
  readonly kind: 'change';
  readonly entryHost: EntryHostId;
  /** Requests in flight at the backend servers where that number changed. */
  readonly inFlight: Readonly<Record<BackendServerId, number>>;
  readonly tiers: HostSummary['tiers'];
  readonly waiting: HostSummary['waiting'];
}

export type HostMessage = HostSummary | HostChange | DomainReport;

/** How much a host knows; each number only grows, and is -1 before the first word. */
export interface ClusterStateVersions {
  readonly configurationVersion: number;
  readonly serversVersion: number;
  readonly evacuatedVersion: number;
}

/** What hosts ask each other for. */
export interface PeerQuery {
  readonly kind: 'beliefs';
}

/** All that a host has learnt from the platform. */
export interface ClusterState {
  readonly configuration: RelayConfiguration | undefined;
  readonly servers: readonly ListedServer[];
  readonly serversVersion: number;
  readonly evacuated: readonly FailureDomainId[];
  readonly evacuatedVersion: number;
  /** Undefined until the hosts have been listed. */
  readonly peers: readonly PeerAddress[] | undefined;
}

/** What the platform tells, whenever it changes. */
export interface ClusterStateSource {
  /** Follows the platform until the returned function is called. */
  watch(listener: (change: ClusterStateChange) => void): () => void;
  /** The other hosts as the platform lists them, possibly seconds old; undefined when it does not answer. */
  listPeers(): Promise<readonly PeerAddress[] | undefined>;
  /** Makes this host known to the others; false when it is not certain that they can see it. */
  register(peer: PeerAddress): Promise<boolean>;
  close(): Promise<void>;
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
  | { readonly kind: 'peers'; readonly peers: readonly PeerAddress[] }
  | { readonly kind: 'storeLost'; readonly subject: string; readonly reason: string }
  | { readonly kind: 'storeRegained'; readonly subject: string };

export interface RelayContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

export interface Pools {
  getQueue(pool: PoolId): PoolQueue;
  setSettings(settings: readonly PoolSettings[]): void;
  setServers(servers: readonly ListedServer[]): void;
  /** Takes in all hosts, this one too, and how many of them are in its failure domain. */
  setHosts(hosts: readonly EntryHostId[], sameDomainHosts: number): void;
  /** This host's requests in flight, by backend server. */
  countOwnInFlight(): ReadonlyMap<BackendServerId, number>;
  /** Takes servers of these failure domains for cold: they may have been idle. */
  markCold(failureDomains: readonly FailureDomainId[]): void;
  forEachQueue(action: (queue: PoolQueue, pool: PoolId) => void): void;
}

/** A running relay. */
export interface RelayHost {
  /** Takes over bounds that a reload of the settings changed. */
  applyBounds(bounds: RelayBounds): void;
  /** Answers what is in hand and ends; resolves when nothing is left or the grace is over. */
  stop(): Promise<void>;
}

export interface ClusterStateCache {
  /** Takes in what the platform told. */
  apply(change: ClusterStateChange): void;
  /** Takes in what another host knows, where it is newer. */
  merge(state: ClusterState): void;
  /** Takes in where a host is that has been heard. */
  upsertPeer(peer: PeerAddress): void;
  /** Forgets what was out of reach, once the store is not followed any more. */
  clearUnreachableSubjects(): void;
  get(): ClusterState;
  /** The versions of what is known; cheap, for each message and each question of the balancer. */
  getVersions(): ClusterStateVersions;
  readonly evacuated: ReadonlySet<FailureDomainId>;
  readonly isStoreReachable: boolean;
  stop(): void;
}

export interface PeerTable {
  /** Takes in a whole summary, or a change to the last one. */
  record(message: HostSummary | HostChange, now: Milliseconds): void;
  /** Requests that the other hosts have in flight, by backend server. */
  countInFlight(now: Milliseconds): ReadonlyMap<BackendServerId, number>;
  /** The same by pool and route tier. */
  countByTier(pool: PoolId, now: Milliseconds): ReadonlyMap<TierRank, number>;
  /** Requests that wait at the other hosts, by rank. */
  countQueued(pool: PoolId, now: Milliseconds): ReadonlyMap<number, number>;
  /** Hosts heard lately. */
  listReachable(now: Milliseconds): readonly HostSummary[];
  /** How many these are, and the age of the oldest of their last words. */
  getFreshness(now: Milliseconds): { readonly hosts: number; readonly oldest: Milliseconds };
}
