/** Messages, effects and state summaries of the pool scheduler. */
import type {
  BackendServerId,
  CustomerId,
  EntryHostId,
  FailureDomainId,
  Incarnation,
  Milliseconds,
  PoolId,
  RequestId,
  TierRank,
  VersionId,
} from '@rattanreel/core';

/** Identifies one entry host in one of its incarnations. */
export interface EntryHostIncarnation {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
}

/** Requests a grant: a slot at a backend server for one request. */
export interface GrantRequested {
  readonly kind: 'grantRequested';
  readonly request: RequestId;
  readonly from: EntryHostIncarnation;
  /**
   * Failure domain of the requesting entry host; differs from the scheduler's own when the request
   * was spilled over.
   */
  readonly homeDomain: FailureDomainId;
  readonly tier: TierRank;
  readonly customer: CustomerId;
  /** Relative share of the customer within its tier. */
  readonly customerWeight: number;
  /** API route that the caller used, for version evidence and for estimates of answer lengths. */
  readonly route: string;
  readonly promptTokens: number;
  /** Upper bound on the length of the answer. */
  readonly maximumOutputTokens: number;
  /** Hashes of the prompt's leading blocks, shortest prefix first. */
  readonly prefixHashes: readonly string[];
  /** Time that the request has already waited, also at other schedulers. */
  readonly age: Milliseconds;
  /** Time left until the deadline of the first token. */
  readonly firstTokenDue: Milliseconds;
  /** Time left until the deadline of the whole answer. */
  readonly due: Milliseconds;
  /** Monotonic time of the requesting host when it sent the request; echoed in the grant. */
  readonly stamp: Milliseconds;
}

/** The caller has disconnected, or the entry host no longer needs a grant for the request. */
export interface GrantWithdrawn {
  readonly kind: 'grantWithdrawn';
  readonly request: RequestId;
  readonly from: EntryHostIncarnation;
}

/** How a granted request ended. */
export type ReleaseOutcome =
  | 'completed'
  | 'callerGone'
  | 'notDispatched'
  /** No connection was established and no byte was sent, so the request may be granted again. */
  | 'notConnected'
  | 'backendServerFailed'
  | 'backendServerRefused'
  | 'silent';

/** Releases a slot and reports what was measured while it was occupied. */
export interface GrantReleased {
  readonly kind: 'grantReleased';
  readonly request: RequestId;
  readonly from: EntryHostIncarnation;
  readonly backendServer: BackendServerId;
  /**
   * Echo of the released grant. With the outcome `notDispatched`, releasing a grant older than the
   * latest one frees no slot.
   */
  readonly echo?: Milliseconds;
  readonly outcome: ReleaseOutcome;
  /** Prompt tokens that the engine reported as found in its prefix cache. */
  readonly cachedTokens: number;
  readonly outputTokens: number;
  /** Undefined when no token arrived. */
  readonly firstTokenAfter: Milliseconds | undefined;
  /** Time from dispatch to the end of the request. */
  readonly duration: Milliseconds;
}

/** The first token of a granted request has arrived: its prefill is complete. */
export interface FirstTokenSeen {
  readonly kind: 'firstTokenSeen';
  readonly request: RequestId;
  readonly from: EntryHostIncarnation;
  readonly firstTokenAfter: Milliseconds;
  readonly cachedTokens: number;
}

/** One request in flight at an entry host, as reported to a scheduler. */
export interface InFlightRequest {
  readonly request: RequestId;
  readonly backendServer: BackendServerId;
  readonly tier: TierRank;
  readonly customer: CustomerId;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  readonly prefillDone: boolean;
}

/**
 * All requests that an entry host has in flight at this pool. Queued requests are not included: the
 * entry host requests their grants again one by one.
 */
export interface InFlightReported {
  readonly kind: 'inFlightReported';
  readonly from: EntryHostIncarnation;
  readonly inFlight: readonly InFlightRequest[];
}

/** State that a backend server reported about itself, `reportAge` ago. */
export interface LoadReported {
  readonly kind: 'loadReported';
  readonly backendServer: BackendServerId;
  /** Changes when the backend server's process restarts. */
  readonly backendServerIncarnation: string;
  readonly reportAge: Milliseconds;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly memoryTokensUsed: number;
  readonly memoryTokensTotal: number;
  readonly version: VersionId;
  /** False while the backend server is loading a model or has none. */
  readonly ready: boolean;
  /** True when the backend server has announced that it is leaving. */
  readonly leaving: boolean;
}

/**
 * Prefixes added to or removed from a backend server's cache. Messages may arrive late, and
 * `sequence` may have gaps.
 */
export interface CacheChanged {
  readonly kind: 'cacheChanged';
  readonly backendServer: BackendServerId;
  readonly sequence: number;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

/** The entry hosts considered alive in the failure domains. */
export interface MembersChanged {
  readonly kind: 'membersChanged';
  readonly alive: readonly EntryHostIncarnation[];
  /** Incarnations declared dead since the last message. */
  readonly dead: readonly EntryHostIncarnation[];
}

/** A backend server of the pool in this failure domain. */
export interface PoolBackendServer {
  readonly id: BackendServerId;
  readonly hardware: string;
  readonly version: VersionId;
  readonly memoryTokens: number;
  readonly maximumStreams: number;
  /** Drained by operators: gets no new requests. */
  readonly drained: boolean;
}

/** Share of the traffic that one version may get. */
export interface VersionShare {
  readonly version: VersionId;
  /** Between 0 and 1; the shares of a pool add up to 1. */
  readonly share: number;
}

/** The part of the configuration and of the moves in progress that the scheduler uses. */
export interface PoolChanged {
  readonly kind: 'poolChanged';
  readonly backendServers: readonly PoolBackendServer[];
  readonly shares: readonly VersionShare[];
  /** Number of tiers; ranks run from 0 to one less. */
  readonly tiers: number;
  /** The whole failure domain is drained: no new grants are issued. */
  readonly domainDrained: boolean;
  /**
   * Pools in other failure domains that may receive spilled-over requests, with their last
   * announced capacity.
   */
  readonly remotePools: readonly RemotePool[];
}

/** Capacity that the scheduler of the same pool in another failure domain last announced. */
export interface RemotePool {
  readonly failureDomain: FailureDomainId;
  readonly summaryAge: Milliseconds;
  /** Tokens that the pool could still accept without queueing. */
  readonly spareTokens: number;
  readonly queuedTokens: number;
  readonly drained: boolean;
}

/**
 * Sets a version's share to 0 at once in this failure domain. Only a `poolChanged` with a different
 * share for the version lifts the veto.
 */
export interface VersionVetoed {
  readonly kind: 'versionVetoed';
  readonly version: VersionId;
}

/** Sent at the time that `tryGetNextWakeUp` returned. */
export interface TimePassed {
  readonly kind: 'timePassed';
}

export type SchedulerMessage =
  | GrantRequested
  | GrantWithdrawn
  | GrantReleased
  | FirstTokenSeen
  | InFlightReported
  | LoadReported
  | CacheChanged
  | MembersChanged
  | PoolChanged
  | VersionVetoed
  | TimePassed;

/** Why a request was refused before any dispatch. With every reason the request has not run. */
export type RefusalReason =
  | 'queueFull'
  | 'evictedByHigherTier'
  | 'deadlineCannotBeMet'
  | 'deadlinePassed'
  | 'domainDrained'
  | 'noBackendServer'
  | 'tooLargeForAnyBackendServer';

/** Why a backend server was not chosen. */
export type RejectionReason =
  | 'drained'
  | 'leaving'
  | 'notReady'
  | 'ejected'
  | 'slowStart'
  | 'limit'
  | 'memory'
  | 'versionShare'
  /** The request could not be connected to it before, and another server may serve it. */
  | 'notConnected'
  | 'tooSlow'
  | 'worseEstimate';

export interface RejectedAlternative {
  readonly backendServer: BackendServerId;
  readonly reason: RejectionReason;
}

/** Permission to dispatch one request to one backend server, once. */
export interface Grant {
  readonly kind: 'grant';
  readonly request: RequestId;
  readonly to: EntryHostIncarnation;
  readonly backendServer: BackendServerId;
  readonly version: VersionId;
  /**
   * Stamp of the request for this grant; the entry host does not use a grant whose echo is too old.
   */
  readonly echo: Milliseconds;
  /** How long after `echo` the grant may be used. */
  readonly lifetime: Milliseconds;
  /** How long the request waited in this queue. */
  readonly queuedFor: Milliseconds;
  readonly expectedCachedTokens: number;
  readonly expectedFirstTokenAfter: Milliseconds;
  readonly alternatives: readonly RejectedAlternative[];
}

/** Final answer for a request that was not dispatched. */
export interface Refusal {
  readonly kind: 'refusal';
  readonly request: RequestId;
  readonly to: EntryHostIncarnation;
  readonly reason: RefusalReason;
  readonly retryAfter: Milliseconds;
  readonly queuedFor: Milliseconds;
}

/**
 * Instructs the entry host to request a grant in another failure domain; the request leaves this
 * queue.
 */
export interface SpillOver {
  readonly kind: 'spillOver';
  readonly request: RequestId;
  readonly to: EntryHostIncarnation;
  readonly failureDomain: FailureDomainId;
  readonly queuedFor: Milliseconds;
}

/** Cancels a request that a dead entry host incarnation left running at a backend server. */
export interface CancelAtBackendServer {
  readonly kind: 'cancelAtBackendServer';
  readonly backendServer: BackendServerId;
  readonly request: RequestId;
}

/** The standing of a backend server has changed; written to the decision log. */
export interface StandingChanged {
  readonly kind: 'standingChanged';
  readonly backendServer: BackendServerId;
  readonly standing: BackendServerStanding;
  readonly reason: string;
}

/** Determines whether and how much new work a backend server gets. */
export type BackendServerStanding =
  'serving' | 'slowStart' | 'ejected' | 'probing' | 'drained' | 'leaving';

/** Measurements of one finished request, used to evaluate its version. */
export interface VersionEvidence {
  readonly kind: 'versionEvidence';
  readonly version: VersionId;
  readonly route: string;
  readonly tier: TierRank;
  readonly failed: boolean;
  /**
   * Normalised by hardware speed: equals a nominal value on a backend server as fast as it was
   * before. Undefined without a reference speed or when no token arrived.
   */
  readonly firstTokenAfter: Milliseconds | undefined;
  /** Mean time between the tokens after the first, normalised by hardware speed likewise. */
  readonly betweenTokens: Milliseconds | undefined;
  readonly outputTokens: number;
  readonly promptTokens: number;
}

export type SchedulerEffect =
  Grant | Refusal | SpillOver | CancelAtBackendServer | StandingChanged | VersionEvidence;

/** State of a pool that a scheduler reports to other failure domains and to the metrics. */
export interface PoolSummary {
  readonly spareTokens: number;
  readonly queuedTokens: number;
  readonly queuedByTier: readonly number[];
  readonly inFlight: number;
  /** The scheduler has just started and issues no grants yet. */
  readonly isHandingOver: boolean;
  readonly backendServers: readonly BackendServerSummary[];
}

export interface BackendServerSummary {
  readonly id: BackendServerId;
  readonly standing: BackendServerStanding;
  readonly version: VersionId;
  readonly inFlight: number;
  readonly inFlightTokens: number;
  readonly streamLimit: number;
}

/**
 * Decides on the requests of one pool in one failure domain. It has no side effects beyond its own
 * state: it uses no sockets and no timers.
 */
export interface PoolScheduler {
  /**
   * Processes one message at monotonic time `now` and returns the effects to carry out, in order.
   */
  handle(message: SchedulerMessage, now: Milliseconds): readonly SchedulerEffect[];
  /** Returns when to send the next `timePassed`; undefined when no decision depends on time. */
  tryGetNextWakeUp(now: Milliseconds): Milliseconds | undefined;
  getSummary(now: Milliseconds): PoolSummary;
}

/** Parameters of the scheduler's decisions; each has a default. */
export interface SchedulerPolicy {
  /**
   * Maximum number of waiting requests, deferred refusals included. Beyond it a request of the
   * lowest tier is evicted: one with a deferred refusal, otherwise the newest.
   */
  readonly queueCapacity: number;
  /** Time after the stamp of its request during which a grant may be used. */
  readonly grantLifetime: Milliseconds;
  /**
   * Time after a start during which nothing is granted while entry hosts report what they have in
   * flight.
   */
  readonly handoverWait: Milliseconds;
  /** Initial stream limit of a cold backend server. */
  readonly slowStartStreams: number;
  /**
   * Expected wait here above which a request is spilled over if another failure domain can take it.
   */
  readonly spillWaitThreshold: Milliseconds;
}

export interface PoolSchedulerOptions {
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  /**
   * Whether an unknown predecessor may have left requests in flight, so that the entry hosts must
   * report before anything is granted.
   */
  readonly needsHandover: boolean;
  readonly startedAt: Milliseconds;
  /** Seed of the jitter of retry hints and ejection times. */
  readonly seed: number;
  readonly policy?: Partial<SchedulerPolicy>;
}
