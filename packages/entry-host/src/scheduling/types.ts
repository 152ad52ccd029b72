/** Grants of one entry host, the schedulers that run on it, and the messages between them. */
import type {
  BackendServerId,
  Clock,
  CustomerId,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  PoolId,
  Random,
  RequestId,
  TierRank,
  Timer,
} from '@rattanreel/core';
import type { ScheduledPoolStatus } from '@rattanreel/administration';
import type { ConfigurationPeerMessage } from '@rattanreel/configuration';
import type { EngineClient, RequestLifecycle } from '@rattanreel/dispatch';
import type { MembershipPeerMessage, PoolCapacity } from '@rattanreel/membership';
import type { DecisionLog } from '@rattanreel/observability';
import type {
  CacheChanged,
  CancelAtBackendServer,
  EntryHostIncarnation,
  Grant,
  GrantReleased,
  InFlightReported,
  InFlightRequest,
  LoadReported,
  MembersChanged,
  RemotePool,
  PoolScheduler,
  PoolSummary,
  RefusalReason,
  SchedulerMessage,
  VersionEvidence,
  VersionShare,
} from '@rattanreel/scheduling';
import type { MovePeerMessage } from '../moves/types';
import type {
  Admission,
  FromScheduler,
  MembershipTask,
  PeerMessage,
  SettingsView,
  ToScheduler,
} from '../types';

/** Describes a request for which the grant client obtains a grant. */
export interface GrantRequest {
  readonly request: RequestId;
  readonly pool: PoolId;
  readonly tier: TierRank;
  readonly customer: CustomerId;
  readonly customerWeight: number;
  readonly route: string;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  readonly prefixHashes: readonly string[];
  /** Monotonic time of this host, as are the deadlines below. */
  readonly arrivedAt: Milliseconds;
  readonly firstTokenDueAt: Milliseconds;
  readonly dueAt: Milliseconds;
  readonly lifecycle: RequestLifecycle;
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal;
}

/** A grant in use, with the functions that report on it and release its slot. */
export interface HeldGrant {
  readonly grant: Grant;
  readonly failureDomain: FailureDomainId;
  reportFirstToken(after: Milliseconds, cachedTokens: number): void;
  release(report: ReleaseReport): void;
}

export type ReleaseReport = Pick<
  GrantReleased,
  'outcome' | 'cachedTokens' | 'outputTokens' | 'firstTokenAfter' | 'duration'
>;

export type GrantResult =
  | { readonly kind: 'granted'; readonly heldGrant: HeldGrant }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason | 'stopping';
      readonly retryAfter: Milliseconds;
    }
  | { readonly kind: 'callerGone' };

/** Obtains grants from pool schedulers for this host's requests. */
export interface GrantClient {
  obtain(grantRequest: GrantRequest): Promise<GrantResult>;
  receive(pool: PoolId, failureDomain: FailureDomainId, message: FromScheduler): void;
  /**
   * Sends the grant requests of everything queued again, after the scheduler of a pool has changed.
   */
  resendQueued(pool: PoolId, failureDomain: FailureDomainId): void;
  /** Returns this host's requests in flight at a pool. */
  buildInFlightReport(pool: PoolId, failureDomain: FailureDomainId): InFlightReported;
  /** Visits each pool and failure domain with requests of this host in flight. */
  forEachPoolInUse(visit: (pool: PoolId, failureDomain: FailureDomainId) => void): void;
}

/** Sends a message to the scheduler of a pool in a failure domain. */
export type SendToScheduler = (
  pool: PoolId,
  failureDomain: FailureDomainId,
  message: ToScheduler,
) => void;

/** Dependencies of a scheduler task. */
export interface SchedulerTaskOptions {
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  readonly clock: Clock;
  readonly scheduler: PoolScheduler;
  readonly decisions: DecisionLog;
  readonly sendToHost: (message: FromScheduler) => void;
  readonly cancelAtBackendServer: (effect: CancelAtBackendServer) => void;
  readonly receiveEvidence: (evidence: VersionEvidence) => void;
}

/** Owns one pool scheduler: passes messages and time events to it and carries out its effects. */
export interface SchedulerTask {
  readonly pool: PoolId;
  handle(message: SchedulerMessage): void;
  getSummary(): PoolSummary;
  close(): void;
}

export interface GrantClientOptions {
  /** Returns this entry host with its current incarnation. */
  readonly getSelf: () => EntryHostIncarnation;
  readonly homeDomain: FailureDomainId;
  readonly clock: Clock;
  readonly send: SendToScheduler;
  /** Decides which requests are still sent once this host stops. */
  readonly admission: Pick<Admission, 'canSend' | 'watchStop'>;
}

/** A request of this host that waits for a grant. */
export interface QueuedRequest {
  readonly grantRequest: GrantRequest;
  /** Failure domain whose scheduler queues the request now. */
  failureDomain: FailureDomainId;
  timer: Timer | undefined;
  readonly resolve: (result: GrantResult) => void;
}

/** A request in flight, with the pool and failure domain of the scheduler that granted it. */
export interface GrantedRequest {
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  readonly inFlight: InFlightRequest;
}

/** The grants in use at one entry host. */
export interface HeldGrants {
  hold(grantRequest: GrantRequest, failureDomain: FailureDomainId, grant: Grant): HeldGrant;
  /** Releases a grant that was not used, for instance because it arrived too late. */
  releaseUnused(pool: PoolId, failureDomain: FailureDomainId, grant: Grant): void;
  isHeld(grant: Grant): boolean;
  buildInFlightReport(pool: PoolId, failureDomain: FailureDomainId): InFlightReported;
  forEachPoolInUse(visit: (pool: PoolId, failureDomain: FailureDomainId) => void): void;
}

/** Polls one backend server for its state until closed. */
export interface LoadPoller {
  close(): void;
}

export interface LoadPollerOptions {
  readonly backendServer: BackendServerId;
  readonly address: string;
  readonly publishesCacheEvents: boolean;
  readonly clock: Clock;
  readonly engineClient: EngineClient;
  readonly report: (message: LoadReported | CacheChanged) => void;
}

/** Dependencies of the schedulers of one entry host. */
export interface LocalSchedulersOptions {
  readonly failureDomain: FailureDomainId;
  readonly membership: Pick<MembershipTask, 'self' | 'tryGetScheduler'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly engineClient: EngineClient;
  readonly decisions: DecisionLog;
  readonly tryGetSettings: () => SettingsView | undefined;
  /** Returns the version shares in force during a move; undefined when the pool has no move. */
  readonly tryGetShares: (pool: PoolId) => readonly VersionShare[] | undefined;
  readonly getRemotePools: (pool: PoolId) => readonly RemotePool[];
  readonly sendToHost: (pool: PoolId, message: FromScheduler) => void;
  readonly cancelAtBackendServer: (effect: CancelAtBackendServer) => void;
  readonly receiveEvidence: (pool: PoolId, evidence: VersionEvidence) => void;
  /** Called when a pool in any failure domain has a different scheduler than before. */
  readonly onSchedulerChanged: (pool: PoolId, failureDomain: FailureDomainId) => void;
}

/** The schedulers that run on this entry host. */
export interface LocalSchedulers {
  /** Starts, stops and updates schedulers after a change of settings, members or shares. */
  update(): void;
  handleMembersChanged(message: MembersChanged): void;
  tryGetTask(pool: PoolId): SchedulerTask | undefined;
  /** Returns the status of the pools that are scheduled here. */
  getSummaries(): readonly ScheduledPoolStatus[];
  /** Returns the capacity of the pools scheduled here, for other failure domains. */
  getPoolCapacities(): readonly PoolCapacity[];
  close(): void;
}

export interface PeerRouterOptions {
  readonly failureDomain: FailureDomainId;
  readonly membership: Pick<MembershipTask, 'self' | 'tryGetScheduler'>;
  readonly tryGetTask: (pool: PoolId) => SchedulerTask | undefined;
  readonly sendToPeer: (entryHost: EntryHostId, message: PeerMessage) => void;
  readonly receiveFromScheduler: (
    pool: PoolId,
    failureDomain: FailureDomainId,
    message: FromScheduler,
  ) => void;
  readonly receiveMembership: (message: MembershipPeerMessage) => void;
  readonly receiveConfiguration: (message: ConfigurationPeerMessage) => void;
  readonly receiveMove: (pool: PoolId, message: MovePeerMessage) => void;
}

/**
 * Routes messages between grant clients and pool schedulers, and from peers to the tasks of this
 * host.
 */
export interface PeerRouter {
  readonly sendToScheduler: SendToScheduler;
  sendToHost(pool: PoolId, message: FromScheduler): void;
  receive(message: PeerMessage): void;
}
