/** The grants of one entry host, the schedulers that run on it, and the messages between them. */
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
  FromScheduler,
  MembershipTask,
  PeerMessage,
  SettingsView,
  ToScheduler,
} from '../types';

/** What the grant client needs to know of a request. */
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
  /** Monotonic instants of this host. */
  readonly arrivedAt: Milliseconds;
  readonly firstTokenDueAt: Milliseconds;
  readonly dueAt: Milliseconds;
  readonly lifecycle: RequestLifecycle;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** A grant that has been taken, with the way to give its slot back. */
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
      readonly reason: RefusalReason;
      readonly retryAfter: Milliseconds;
    }
  | { readonly kind: 'callerGone' };

/** Asks pool schedulers for grants on behalf of this host's requests. */
export interface GrantClient {
  obtain(grantRequest: GrantRequest): Promise<GrantResult>;
  receive(pool: PoolId, failureDomain: FailureDomainId, message: FromScheduler): void;
  /** Asks again for everything queued: the scheduler of a pool has changed. */
  resendQueued(pool: PoolId, failureDomain: FailureDomainId): void;
  /** What this host has in flight at a pool. */
  buildInFlightReport(pool: PoolId, failureDomain: FailureDomainId): InFlightReported;
  /** Visits each pool and failure domain with requests of this host in flight. */
  forEachPoolInUse(visit: (pool: PoolId, failureDomain: FailureDomainId) => void): void;
}

/** Carries messages to the scheduler of a pool in a failure domain. */
export type SendToScheduler = (
  pool: PoolId,
  failureDomain: FailureDomainId,
  message: ToScheduler,
) => void;

/** What a scheduler task needs of the entry host around it. */
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

/** Owns one pool scheduler: feeds it messages and time, and carries out its effects. */
export interface SchedulerTask {
  readonly pool: PoolId;
  handle(message: SchedulerMessage): void;
  summary(): PoolSummary;
  close(): void;
}

export interface GrantClientOptions {
  /** This entry host with its present incarnation. */
  readonly getSelf: () => EntryHostIncarnation;
  readonly homeDomain: FailureDomainId;
  readonly clock: Clock;
  readonly send: SendToScheduler;
}

/** A request of this host that waits for a grant. */
export interface QueuedRequest {
  readonly grantRequest: GrantRequest;
  /** Where it is queued now. */
  failureDomain: FailureDomainId;
  timer: Timer | undefined;
  readonly resolve: (result: GrantResult) => void;
}

/** A request in flight with the scheduler that granted it. */
export interface GrantedRequest {
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  readonly inFlight: InFlightRequest;
}

/** The grants in use at one entry host. */
export interface HeldGrants {
  hold(grantRequest: GrantRequest, failureDomain: FailureDomainId, grant: Grant): HeldGrant;
  /** Tells the scheduler that a grant came too late or for nothing. */
  releaseUnused(pool: PoolId, failureDomain: FailureDomainId, grant: Grant): void;
  isHeld(grant: Grant): boolean;
  buildInFlightReport(pool: PoolId, failureDomain: FailureDomainId): InFlightReported;
  forEachPoolInUse(visit: (pool: PoolId, failureDomain: FailureDomainId) => void): void;
}

/** Asks one backend server for its state until closed. */
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

/** What the schedulers of one entry host need of the tasks around them. */
export interface LocalSchedulersOptions {
  readonly failureDomain: FailureDomainId;
  readonly membership: Pick<MembershipTask, 'self' | 'tryGetScheduler'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly engineClient: EngineClient;
  readonly decisions: DecisionLog;
  readonly tryGetSettings: () => SettingsView | undefined;
  /** Shares in force while a move is under way. */
  readonly tryGetShares: (pool: PoolId) => readonly VersionShare[] | undefined;
  readonly getRemotePools: (pool: PoolId) => readonly RemotePool[];
  readonly sendToHost: (pool: PoolId, message: FromScheduler) => void;
  readonly cancelAtBackendServer: (effect: CancelAtBackendServer) => void;
  readonly receiveEvidence: (pool: PoolId, evidence: VersionEvidence) => void;
  /** The scheduler of a pool in some failure domain is another than before. */
  readonly onSchedulerChanged: (pool: PoolId, failureDomain: FailureDomainId) => void;
}

/** The schedulers that run on this entry host. */
export interface LocalSchedulers {
  /** Starts, stops and informs schedulers after a change of settings, members or shares. */
  update(): void;
  handleMembersChanged(message: MembersChanged): void;
  tryGetTask(pool: PoolId): SchedulerTask | undefined;
  /** The pools scheduled here. */
  summaries(): readonly ScheduledPoolStatus[];
  /** What the schedulers here say of their room, for other failure domains. */
  poolCapacities(): readonly PoolCapacity[];
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

/** Carries the messages between grant clients and pool schedulers. */
export interface PeerRouter {
  readonly sendToScheduler: SendToScheduler;
  sendToHost(pool: PoolId, message: FromScheduler): void;
  receive(message: PeerMessage): void;
}
