/** Messages, effects and records of the pool scheduler. */
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

/** Names one run of one entry host. */
export interface EntryHostIncarnation {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
}

/** An entry host asks for a backend server for one request. */
export interface GrantRequested {
  readonly kind: 'grantRequested';
  readonly request: RequestId;
  readonly from: EntryHostIncarnation;
  /** Failure domain of the asking entry host; another than the scheduler's when spilled over. */
  readonly homeDomain: FailureDomainId;
  readonly tier: TierRank;
  readonly customer: CustomerId;
  /** Relative share of the customer within its tier. */
  readonly customerWeight: number;
  /** Route of the caller's API, for evidence about versions. */
  readonly route: string;
  readonly promptTokens: number;
  /** Upper bound of the answer's length. */
  readonly maximumOutputTokens: number;
  /** Hashes of the prompt's leading blocks, shortest prefix first. */
  readonly prefixHashes: readonly string[];
  /** How long the request has waited already, at any scheduler. */
  readonly age: Milliseconds;
  /** Time left until the first token must be out. */
  readonly firstTokenDue: Milliseconds;
  /** Time left until the whole answer must be out. */
  readonly due: Milliseconds;
  /** The asking host's own monotonic time, echoed in the grant. */
  readonly stamp: Milliseconds;
}

/** The caller has gone, or the entry host no longer wants a grant for the request. */
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
  /** The backend server took no connection; no byte was sent, so the request may be granted anew. */
  | 'notConnected'
  | 'backendServerFailed'
  | 'backendServerRefused'
  | 'silent';

/** A slot comes back, with what was measured while it was held. */
export interface GrantReleased {
  readonly kind: 'grantReleased';
  readonly request: RequestId;
  readonly from: EntryHostIncarnation;
  readonly backendServer: BackendServerId;
  /** Echo of the grant that is given back; a release of an older grant than the last one frees nothing. */
  readonly echo?: Milliseconds;
  readonly outcome: ReleaseOutcome;
  /** Prompt tokens that the engine reported as found in its prefix cache. */
  readonly cachedTokens: number;
  readonly outputTokens: number;
  /** Undefined when no token arrived. */
  readonly firstTokenAfter: Milliseconds | undefined;
  /** From dispatch to the end. */
  readonly duration: Milliseconds;
}

/** A granted request's first token has arrived: its prefill is over. */
export interface FirstTokenSeen {
  readonly kind: 'firstTokenSeen';
  readonly request: RequestId;
  readonly from: EntryHostIncarnation;
  readonly firstTokenAfter: Milliseconds;
  readonly cachedTokens: number;
}

/** One request in hand at an entry host, told to a new scheduler. */
export interface InFlightRequest {
  readonly request: RequestId;
  readonly backendServer: BackendServerId;
  readonly tier: TierRank;
  readonly customer: CustomerId;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  readonly prefillDone: boolean;
}

/** All that an entry host has in hand at this pool; queued requests are asked for again one by one. */
export interface InFlightReported {
  readonly kind: 'inFlightReported';
  readonly from: EntryHostIncarnation;
  readonly inFlight: readonly InFlightRequest[];
}

/** A backend server's own account of itself, `reportAge` old. */
export interface LoadReported {
  readonly kind: 'loadReported';
  readonly backendServer: BackendServerId;
  /** Changes when the backend server's process starts anew. */
  readonly backendServerIncarnation: string;
  readonly reportAge: Milliseconds;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly memoryTokensUsed: number;
  readonly memoryTokensTotal: number;
  readonly version: VersionId;
  /** False while it is loading a model or has none. */
  readonly ready: boolean;
  /** Set when it has announced that it is leaving. */
  readonly leaving: boolean;
}

/** Prefixes that entered or left a backend server's cache; late, and with gaps in `sequence`. */
export interface CacheChanged {
  readonly kind: 'cacheChanged';
  readonly backendServer: BackendServerId;
  readonly sequence: number;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

/** The entry hosts seen alive in the failure domains. */
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
  /** Taken out by operators: gets nothing new. */
  readonly drained: boolean;
}

/** Share of the traffic that one version may get. */
export interface VersionShare {
  readonly version: VersionId;
  /** Between 0 and 1; the shares of a pool add up to 1. */
  readonly share: number;
}

/** What the scheduler has to know of the configuration and of moves. */
export interface PoolChanged {
  readonly kind: 'poolChanged';
  readonly backendServers: readonly PoolBackendServer[];
  readonly shares: readonly VersionShare[];
  /** Number of tiers; ranks run from 0 to one less. */
  readonly tiers: number;
  /** The whole failure domain is taken out: nothing new is granted. */
  readonly domainDrained: boolean;
  /** Other failure domains that may take requests, with what they last said of their room. */
  readonly remotePools: readonly RemotePool[];
}

/** What another failure domain's scheduler of the same pool last said of its room. */
export interface RemotePool {
  readonly failureDomain: FailureDomainId;
  readonly summaryAge: Milliseconds;
  /** Tokens that it could still take without a queue. */
  readonly spareTokens: number;
  readonly queuedTokens: number;
  readonly drained: boolean;
}

/** Sets a version's share to nothing at once in this domain; only a new `poolChanged` raises it again. */
export interface VersionVetoed {
  readonly kind: 'versionVetoed';
  readonly version: VersionId;
}

/** Time has passed; sent when `nextWakeUp` says so. */
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

/** Why a request is refused before any dispatch. All of them mean "not run". */
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
  /** The asking host's own stamp; the host refuses a grant whose echo is too old. */
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

/** The entry host should ask the scheduler of another failure domain; the request leaves this queue. */
export interface SpillOver {
  readonly kind: 'spillOver';
  readonly request: RequestId;
  readonly to: EntryHostIncarnation;
  readonly failureDomain: FailureDomainId;
  readonly queuedFor: Milliseconds;
}

/** Everything that this incarnation left running at the backend server is to be cancelled there. */
export interface CancelAtBackendServer {
  readonly kind: 'cancelAtBackendServer';
  readonly backendServer: BackendServerId;
  readonly request: RequestId;
}

/** A backend server's standing changed; a log line and a metric. */
export interface StandingChanged {
  readonly kind: 'standingChanged';
  readonly backendServer: BackendServerId;
  readonly standing: BackendServerStanding;
  readonly reason: string;
}

/** How far a backend server is trusted with work. */
export type BackendServerStanding =
  'serving' | 'slowStart' | 'ejected' | 'probing' | 'drained' | 'leaving';

/** Evidence about one finished request, for the judgement of versions. */
export interface VersionEvidence {
  readonly kind: 'versionEvidence';
  readonly version: VersionId;
  readonly route: string;
  readonly tier: TierRank;
  readonly failed: boolean;
  /** Freed of the hardware's speed: at its nominal value on a backend server as fast as it was before. */
  readonly firstTokenAfter: Milliseconds | undefined;
  /** Mean time between tokens after the first, freed of the hardware's speed likewise. */
  readonly betweenTokens: Milliseconds | undefined;
  readonly outputTokens: number;
  readonly promptTokens: number;
}

export type SchedulerEffect =
  Grant | Refusal | SpillOver | CancelAtBackendServer | StandingChanged | VersionEvidence;

/** What a scheduler tells the other failure domains and the metrics. */
export interface PoolSummary {
  readonly spareTokens: number;
  readonly queuedTokens: number;
  readonly queuedByTier: readonly number[];
  readonly inFlight: number;
  /** It has just started and does not grant yet. */
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

/** The decisions of one pool in one failure domain. Pure but for its own state: no sockets, no timers. */
export interface PoolScheduler {
  /** Takes one message at monotonic time `now` and returns what is to be done, in order. */
  handle(message: SchedulerMessage, now: Milliseconds): readonly SchedulerEffect[];
  /** When `timePassed` is wanted next; undefined when nothing waits. */
  tryGetNextWakeUp(now: Milliseconds): Milliseconds | undefined;
  getSummary(now: Milliseconds): PoolSummary;
}

/** How the scheduler decides; each has a default. */
export interface SchedulerPolicy {
  /** Most requests queued in all; beyond it the newest of the lowest tier is evicted. */
  readonly queueCapacity: number;
  /** How long after its request's stamp a grant may be used. */
  readonly grantLifetime: Milliseconds;
  /** After a start, how long nothing is granted beyond what is known to be in flight. */
  readonly handoverWait: Milliseconds;
  /** Streams that a cold backend server may have at first. */
  readonly slowStartStreams: number;
  /** Expected wait here from which a request is passed on to a failure domain with room. */
  readonly spillWaitThreshold: Milliseconds;
}

export interface PoolSchedulerOptions {
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  /** Whether this scheduler takes over from an unknown predecessor and must hear from the entry hosts first. */
  readonly needsHandover: boolean;
  readonly startedAt: Milliseconds;
  /** Seed of the tie-breaks. */
  readonly seed: number;
  readonly policy?: Partial<SchedulerPolicy>;
}
