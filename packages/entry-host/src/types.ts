/** Messages between entry hosts and between the tasks of one entry host. */
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
  Timer,
} from '@rattanreel/core';
import type {
  AdministratorSettings,
  BackendServerSettings,
  CustomerSettings,
  DeploymentSettings,
  EntryHostAddress,
  EntryHostSettings,
  ModelPoolSettings,
  ServicePoolSettings,
  ServiceRouteSettings,
  TierSettings,
} from '@rattanreel/configuration';
import type {
  BackendServerError,
  EngineClient,
  RequestLifecycle,
  ServiceAnswer,
  ServiceClient,
  StreamResult,
} from '@rattanreel/dispatch';
import type { DecisionLog, Logger, Metrics } from '@rattanreel/observability';
import type {
  DispatchOrder,
  Execution,
  OrderDesk,
  OrderRequest,
  OrderResult,
  OwnerAnswer,
} from '@rattanreel/orders';
import type {
  CacheChanged,
  CancelAtBackendServer,
  EntryHostIncarnation,
  FirstTokenSeen,
  Grant,
  GrantReleased,
  GrantRequested,
  GrantWithdrawn,
  InFlightReported,
  InFlightRequest,
  LoadReported,
  NeighbourPool,
  PoolScheduler,
  PoolSummary,
  Refusal,
  RefusalReason,
  SchedulerMessage,
  SpillOver,
  VersionEvidence,
  VersionShare,
} from '@rattanreel/scheduling';
import type { TransportSettingsError } from '@rattanreel/transport';

/** What an entry host tells the scheduler of a pool. */
export type ToScheduler =
  GrantRequested | GrantWithdrawn | GrantReleased | FirstTokenSeen | InFlightReported;

/** What the scheduler of a pool tells an entry host. */
export type FromScheduler = Grant | Refusal | SpillOver;

/** One-way messages between entry hosts. */
export type PeerMessage =
  | {
      readonly kind: 'toScheduler';
      readonly pool: PoolId;
      readonly failureDomain: FailureDomainId;
      readonly message: ToScheduler;
      /** Set once another host of the domain has passed it on; it is not passed on again. */
      readonly forwarded: boolean;
    }
  | {
      readonly kind: 'fromScheduler';
      readonly pool: PoolId;
      readonly failureDomain: FailureDomainId;
      readonly message: FromScheduler;
    };

/** Questions between entry hosts. */
export interface PeerQuestion {
  /** Asks the owner of a claim or a ticket how its order ended. */
  readonly kind: 'order';
  readonly incarnation: string;
  readonly order: OrderRequest;
}

export interface PeerAnswer {
  readonly kind: 'order';
  readonly answer: OwnerAnswer;
}

/** What the grant client needs to know of a request. */
export interface GrantAsk {
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
  firstToken(after: Milliseconds, cachedTokens: number): void;
  release(report: ReleaseReport): void;
}

export type ReleaseReport = Pick<
  GrantReleased,
  'outcome' | 'cachedTokens' | 'outputTokens' | 'firstTokenAfter' | 'duration'
>;

export type GrantResult =
  | { readonly kind: 'granted'; readonly held: HeldGrant }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfter: Milliseconds;
    }
  | { readonly kind: 'callerGone' };

/** Asks pool schedulers for grants on behalf of this host's requests. */
export interface GrantClient {
  obtain(ask: GrantAsk): Promise<GrantResult>;
  receive(pool: PoolId, failureDomain: FailureDomainId, message: FromScheduler): void;
  /** Asks again for everything queued: the scheduler of a pool has changed. */
  askAgain(pool: PoolId, failureDomain: FailureDomainId): void;
  /** What this host has in flight at a pool. */
  report(pool: PoolId, failureDomain: FailureDomainId): InFlightReported;
  /** Requests queued or in flight. */
  pending(): number;
}

/** Carries messages to the scheduler of a pool in a failure domain. */
export type SendToScheduler = (
  pool: PoolId,
  failureDomain: FailureDomainId,
  message: ToScheduler,
) => void;

/** Where an entry host of this deployment is reached. */
export interface EntryHostPlace {
  readonly id: string;
  readonly failureDomain: FailureDomainId;
  readonly peerAddress: string;
}

/** Who is alive, as far as this entry host sees. */
export interface MembershipView {
  readonly self: EntryHostIncarnation;
  /** Live entry hosts of a failure domain. */
  aliveIn(failureDomain: FailureDomainId): readonly EntryHostIncarnation[];
  /** The entry host that schedules a pool in a failure domain; undefined when none is alive. */
  tryGetScheduler(pool: PoolId, failureDomain: FailureDomainId): EntryHostIncarnation | undefined;
}

/** Names of backend servers and their base URLs. */
export type AddressOf = (backendServer: BackendServerId) => string;

/** Look-ups in the settings in force, built once for each generation. */
export interface SettingsView {
  readonly settings: DeploymentSettings;
  tryFindCustomer(apiKey: string): CustomerSettings | undefined;
  tryFindAdministrator(token: string): AdministratorSettings | undefined;
  tryFindModelPool(model: string): ModelPoolSettings | undefined;
  tryFindService(service: string): ServicePoolSettings | undefined;
  tryFindRoute(
    pool: ServicePoolSettings,
    method: string,
    path: string,
  ): ServiceRouteSettings | undefined;
  tryFindBackendServer(id: string): BackendServerSettings | undefined;
  tryFindEntryHost(id: string): EntryHostAddress | undefined;
  backendServersOf(pool: PoolId, failureDomain: string): readonly BackendServerSettings[];
  /** Rank of a tier by name; the lowest for an unknown name. */
  rankOf(tier: string): TierRank;
  tierAt(rank: TierRank): TierSettings;
}

/** What a scheduler task needs of the entry host around it. */
export interface SchedulerTaskOptions {
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  readonly clock: Clock;
  readonly scheduler: PoolScheduler;
  readonly decisions: DecisionLog;
  readonly sendToHost: (message: FromScheduler) => void;
  readonly cancelAtBackendServer: (effect: CancelAtBackendServer) => void;
  readonly takeEvidence: (evidence: VersionEvidence) => void;
}

/** Owns one pool scheduler: feeds it messages and time, and carries out its effects. */
export interface SchedulerTask {
  readonly pool: PoolId;
  handle(message: SchedulerMessage): void;
  summary(): PoolSummary;
  close(): void;
}

export interface GrantClientOptions {
  readonly self: EntryHostIncarnation;
  readonly homeDomain: FailureDomainId;
  readonly clock: Clock;
  readonly send: SendToScheduler;
}

/** A request of this host that waits for a grant. */
export interface QueuedRequest {
  readonly ask: GrantAsk;
  /** Where it is queued now. */
  failureDomain: FailureDomainId;
  timer: Timer | undefined;
  readonly settle: (result: GrantResult) => void;
}

/** A request in flight with the scheduler that granted it. */
export interface InFlightAtPool {
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  readonly inFlight: InFlightRequest;
}

/** The grants in use at one entry host. */
export interface HeldGrants {
  hold(ask: GrantAsk, failureDomain: FailureDomainId, grant: Grant): HeldGrant;
  /** Tells the scheduler that a grant came too late or for nothing. */
  sendBackUnused(pool: PoolId, failureDomain: FailureDomainId, grant: Grant): void;
  isHeld(grant: Grant): boolean;
  report(pool: PoolId, failureDomain: FailureDomainId): InFlightReported;
  size(): number;
}

/** One kind of problem that a caller can see. */
export interface ProblemType {
  readonly code: string;
  readonly status: 400 | 401 | 403 | 404 | 413 | 422 | 502 | 503 | 504;
  readonly title: string;
}

/** What is added to a problem in one case. */
export interface ProblemDetails {
  readonly request?: RequestId;
  readonly detail?: string;
  readonly retryAfter?: Milliseconds;
}

/** A problem document as RFC 9457 describes it. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: ProblemType['status'];
  /** What is known of the request's execution. */
  readonly execution: Execution;
  readonly request?: RequestId;
  readonly detail?: string;
  readonly retryAfterSeconds?: number;
}

export interface MalformedBody {
  readonly kind: 'malformedBody';
  readonly detail: string;
}

/** A chat completion request as far as routing needs to know it. */
export interface ChatRequest {
  readonly model: string;
  readonly stream: boolean;
  /** The caller wants the chunk with token counts. */
  readonly includeUsage: boolean;
  readonly maximumOutputTokens: number;
  readonly promptWords: readonly string[];
  /** The body for the engine. */
  readonly engineBody: string;
}

/** A whole chat completion in OpenAI's form. */
export interface ChatAnswer {
  readonly id: string;
  readonly object: 'chat.completion';
  readonly created: number;
  readonly model: string;
  readonly choices: readonly {
    readonly index: number;
    readonly message: { readonly role: 'assistant'; readonly content: string };
    readonly finish_reason: string;
  }[];
  readonly usage: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly total_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number };
  };
}

/** A caller whose key is known, with the tier that the request runs at. */
export interface AuthenticatedCaller {
  readonly customer: CustomerSettings;
  readonly rank: TierRank;
  readonly tier: TierSettings;
}

/** What the handlers of callers' requests need of the entry host around them. */
export interface CallerServices {
  readonly self: EntryHostIncarnation;
  readonly failureDomain: FailureDomainId;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly grants: GrantClient;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly orders: OrderDesk;
  readonly orderDispatcher: OrderDispatcher;
  /** The settings in force; undefined until the first are known. */
  readonly tryGetSettings: () => SettingsView | undefined;
  /** Counts requests in hand and tells whether new ones are taken. */
  readonly admission: Admission;
}

/** Requests in hand at this entry host, so that a stop can wait for them. */
export interface Admission {
  /** False once a stop has begun or the bound is reached. */
  tryEnter(): boolean;
  /** Counts further work of a request that was admitted. */
  enter(): void;
  leave(): void;
  stop(): void;
  /** Resolves once nothing is in hand. */
  drained(): Promise<void>;
  isStopping(): boolean;
  inHand(): number;
}

/** A chat request on its way through this entry host. */
export interface ChatJob {
  readonly ask: GrantAsk;
  readonly tier: string;
  readonly model: string;
  readonly includeUsage: boolean;
  readonly engineBody: string;
  /** The tier's bound between tokens. */
  readonly betweenTokens: Milliseconds;
  readonly addressOf: AddressOf;
}

/** How a chat request ended. */
export type ChatOutcome =
  | Exclude<GrantResult, { readonly kind: 'granted' }>
  | { readonly kind: 'ended'; readonly held: HeldGrant; readonly stream: StreamResult };

/** A call of a plain service on its way through this entry host. */
export interface ServiceJob {
  readonly request: RequestId;
  readonly caller: AuthenticatedCaller;
  readonly pool: ServicePoolSettings;
  readonly route: ServiceRouteSettings;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly dueAt: Milliseconds;
  readonly signal: AbortSignal;
  readonly addressOf: AddressOf;
}

/** How a call of a plain service ended. */
export type ServiceOutcome =
  | Exclude<GrantResult, { readonly kind: 'granted' }>
  | { readonly kind: 'answered'; readonly answer: ServiceAnswer }
  | { readonly kind: 'failed'; readonly error: BackendServerError; readonly notRun: boolean };

/** Runs orders at their backend servers for the order desk. */
export interface OrderDispatcher {
  readonly dispatch: DispatchOrder;
  /** Keeps the job of an order for as long as it is submitted. */
  withJob(
    order: OrderRequest,
    job: ServiceJob,
    submit: () => Promise<OrderResult>,
  ): Promise<OrderResult>;
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
  readonly engines: EngineClient;
  readonly report: (message: LoadReported | CacheChanged) => void;
}

/** What the schedulers of one entry host need of the tasks around them. */
export interface SchedulerDirectoryOptions {
  readonly failureDomain: FailureDomainId;
  readonly membership: MembershipView;
  readonly clock: Clock;
  readonly random: Random;
  readonly engines: EngineClient;
  readonly decisions: DecisionLog;
  readonly tryGetSettings: () => SettingsView | undefined;
  /** Shares in force while a move is under way. */
  readonly tryGetShares: (pool: PoolId) => readonly VersionShare[] | undefined;
  readonly getNeighbours: (pool: PoolId) => readonly NeighbourPool[];
  /** Every live entry host that may hold grants, of this failure domain and of others. */
  readonly getKnownHosts: () => readonly EntryHostIncarnation[];
  readonly getDeadHosts: () => readonly EntryHostIncarnation[];
  readonly sendToHost: (pool: PoolId, message: FromScheduler) => void;
  readonly cancelAtBackendServer: (effect: CancelAtBackendServer) => void;
  readonly takeEvidence: (pool: PoolId, evidence: VersionEvidence) => void;
  /** The scheduler of a pool of this failure domain is another than before. */
  readonly onSchedulerChanged: (pool: PoolId) => void;
}

/** The schedulers that run on this entry host. */
export interface SchedulerDirectory {
  /** Starts, stops and informs schedulers after a change of settings, members or shares. */
  update(): void;
  tryGetTask(pool: PoolId): SchedulerTask | undefined;
  forEachTask(visit: (task: SchedulerTask) => void): void;
  isStarted(): boolean;
  close(): void;
}

export interface PeerRouterOptions {
  readonly failureDomain: FailureDomainId;
  readonly membership: MembershipView;
  readonly tryGetTask: (pool: PoolId) => SchedulerTask | undefined;
  readonly sendToPeer: (entryHost: EntryHostId, message: PeerMessage) => void;
  readonly receiveFromScheduler: (
    pool: PoolId,
    failureDomain: FailureDomainId,
    message: FromScheduler,
  ) => void;
}

/** Carries the messages between grant clients and pool schedulers. */
export interface PeerRouter {
  readonly sendToScheduler: SendToScheduler;
  sendToHost(pool: PoolId, message: FromScheduler): void;
  receive(message: PeerMessage): void;
}

export interface EntryHostOptions {
  readonly settings: EntryHostSettings;
  readonly logger?: Logger;
  readonly clock?: Clock;
  readonly random?: Random;
}

/** Why an entry host could not start. */
export type EntryHostError =
  TransportSettingsError | { readonly kind: 'addressInUse'; readonly address: string };

/** A running entry host. */
export interface EntryHost {
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly incarnation: Incarnation;
  isReady(): boolean;
  /** Finishes every request in hand, takes no new one, and closes. */
  stop(): Promise<void>;
  /** Closes at once and cuts what is in hand, as the death of the process would. */
  kill(): Promise<void>;
}

/** The listener for callers of one entry host. */
export interface CallerListener {
  readonly address: string;
  /** Stops listening and waits for open connections to end. */
  close(): Promise<void>;
  /** Stops listening and breaks every connection. */
  cut(): void;
}
