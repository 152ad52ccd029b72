/** Types of the messages between entry hosts and of the tasks of one entry host. */
import type { MoveError, MoveRequest } from '@rattanreel/administration';
import type {
  AdministratorSettings,
  BackendServerSettings,
  ConfigurationMessage,
  ConfigurationPeerMessage,
  ConfigurationTask as ConfigurationReplicaTask,
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
  Clock,
  EntryHostId,
  FailureDomainId,
  Generation,
  Incarnation,
  Milliseconds,
  Outcome,
  PoolId,
  Random,
  RequestId,
  TierRank,
} from '@rattanreel/core';
import type { EngineClient, ServiceClient } from '@rattanreel/dispatch';
import type {
  LaterGenerationSeen,
  MembershipMessage,
  MembershipPeerMessage,
  MembershipView,
} from '@rattanreel/membership';
import type { MoveRecord } from '@rattanreel/moves';
import type {
  DecisionLog,
  ErrorRecorder,
  Logger,
  Metrics,
  RecordedDecision,
} from '@rattanreel/observability';
import type {
  AskOwner,
  OrderExecutor,
  OrderOwner,
  OrderRequest,
  OwnerAnswer,
  PeerView,
  RecordingOrderExecutor,
} from '@rattanreel/orders';
import type { ObjectStore, PlatformClient } from '@rattanreel/platform';
import type {
  EntryHostIncarnation,
  FirstTokenSeen,
  Grant,
  GrantReleased,
  GrantRequested,
  GrantWithdrawn,
  InFlightReported,
  MembersChanged,
  Refusal,
  SpillOver,
} from '@rattanreel/scheduling';
import type { PeerTransport, PeerTransportError } from '@rattanreel/transport';
import type { CallerServices, OrderDispatcher } from './callers/types';
import type { MovePeerMessage, MovesTask } from './moves/types';
import type { LocalSchedulers } from './scheduling/types';

/** Messages that an entry host sends to the scheduler of a pool. */
export type ToScheduler =
  GrantRequested | GrantWithdrawn | GrantReleased | FirstTokenSeen | InFlightReported;

/** Messages that the scheduler of a pool sends to an entry host. */
export type FromScheduler = Grant | Refusal | SpillOver;

/** One-way messages between entry hosts. */
export type PeerMessage =
  | {
      readonly kind: 'toScheduler';
      readonly pool: PoolId;
      readonly failureDomain: FailureDomainId;
      readonly message: ToScheduler;
      /** True once a host of the domain has forwarded the message; it is not forwarded again. */
      readonly forwarded: boolean;
    }
  | {
      readonly kind: 'fromScheduler';
      readonly pool: PoolId;
      readonly failureDomain: FailureDomainId;
      readonly message: FromScheduler;
    }
  | { readonly kind: 'membership'; readonly message: MembershipPeerMessage }
  | { readonly kind: 'configuration'; readonly message: ConfigurationPeerMessage }
  | { readonly kind: 'move'; readonly pool: PoolId; readonly message: MovePeerMessage };

/** Asks the receiver about an order that it has claimed or whose ticket it has issued. */
export interface OrderQuestion {
  readonly kind: 'order';
  readonly incarnation: Incarnation;
  readonly nonce: string | undefined;
  readonly order: OrderRequest;
}

/** Questions between entry hosts; each is answered with a `PeerAnswer` of the same kind. */
export type PeerQuestion =
  | OrderQuestion
  /** Asks for the decisions that the receiver has recorded about a request. */
  | { readonly kind: 'decisions'; readonly request: RequestId };

export type PeerAnswer =
  | { readonly kind: 'order'; readonly answer: OwnerAnswer }
  | { readonly kind: 'decisions'; readonly decisions: readonly RecordedDecision[] };

/** Runs the membership protocol of this entry host. */
export interface MembershipTask {
  start(): void;
  /** Returns this host and its incarnation, which changes when peers declared the host dead. */
  self(): EntryHostIncarnation;
  handle(message: MembershipMessage): void;
  view(): MembershipView;
  /** Returns the host that schedules a pool in a failure domain; undefined when none is known. */
  tryGetScheduler(pool: PoolId, failureDomain: FailureDomainId): EntryHostIncarnation | undefined;
  /** Announces the end of this incarnation and stops. */
  close(): void;
  /** Stops without announcing it. */
  kill(): void;
}

export interface MembershipTaskOptions {
  readonly entryHost: EntryHostId;
  readonly failureDomain: FailureDomainId;
  readonly address: string;
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly random: Random;
  readonly send: (address: string, message: PeerMessage) => void;
  readonly onMembersChanged: (message: MembersChanged) => void;
  readonly onIncarnationChanged: () => void;
  readonly onReplaced: () => void;
  /** Called when the active configuration of a peer is later than that of this host. */
  readonly onLaterGeneration: (effect: LaterGenerationSeen) => void;
}

/** Asks peers about the orders that they own, and answers such questions of peers. */
export interface OwnerQuestions {
  readonly askOwner: AskOwner;
  answer(question: OrderQuestion): Promise<OwnerAnswer>;
}

export interface OwnerQuestionsOptions {
  /** Incarnation with which the order executor of this process was created. */
  readonly incarnation: Incarnation;
  readonly transport: Pick<PeerTransport<PeerMessage, PeerQuestion, PeerAnswer>, 'ask'>;
  readonly tryGetAddress: (entryHost: EntryHostId) => string | undefined;
  readonly getOrderExecutor: () => OrderExecutor;
}

/** Lookups in the active settings, built again with each change of these. */
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
  getBackendServers(pool: PoolId, failureDomain: string): readonly BackendServerSettings[];
  /** Returns the failure domains that have backend servers of a pool. */
  getFailureDomains(pool: PoolId): readonly FailureDomainId[];
  /** Returns the rank of a tier by name; the lowest rank for an unknown name. */
  getTierRank(tier: string): TierRank;
  getTier(rank: TierRank): TierSettings;
}

/** Limits and counts the requests in flight at this host, so that a stop can wait for them. */
export interface Admission {
  /** Records a request whose head has arrived. */
  recordArrival(request: object): void;
  /**
   * Admits a request; returns false if the capacity is reached, or if the request arrived after a stop
   * had begun.
   */
  tryAdmit(request: object): boolean;
  /** Counts further work of an admitted request; it is never refused. */
  retain(): void;
  release(): void;
  /** Begins a stop; what is in flight at `endsAt` is aborted. */
  stop(endsAt: Milliseconds): void;
  /** Whether a request with this deadline may still be sent: only if it ends before the host. */
  canSend(dueAt: Milliseconds): boolean;
  /** Calls back when a stop begins. */
  watchStop(listener: () => void): void;
  /** Resolves once a stop has begun and nothing is in flight. */
  waitUntilDrained(): Promise<void>;
  isStopping(): boolean;
  inFlight(): number;
  /** Calls back when the grace period of a stop ends; returns the function that ends the watch. */
  watchExpiry(listener: () => void): () => void;
  expire(): void;
}

export interface EntryHostOptions {
  readonly settings: EntryHostSettings;
  readonly logger?: Logger;
  readonly clock?: Clock;
  readonly random?: Random;
  /** Ends the start while an address is not available. */
  readonly signal?: AbortSignal | undefined;
  /** Time for requests in hand when the host stops. */
  readonly gracePeriod?: Milliseconds;
}

/** The reason why an entry host could not start. */
export type EntryHostError = PeerTransportError;

/** A running entry host. */
export interface EntryHost {
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly incarnation: Incarnation;
  isReady(): boolean;
  readonly logger: Logger;
  readonly recordError: ErrorRecorder;
  /**
   * Accepts no new requests, waits for those in flight within the grace period, and closes. Further
   * calls return the same promise.
   */
  stop(): Promise<void>;
  /** Closes at once and aborts everything in flight, as a crash of the process would. */
  kill(): Promise<void>;
}

/** Runs the configuration replica of one entry host. */
export interface ConfigurationTask {
  start(): void;
  tryGetSettings(): SettingsView | undefined;
  /** Returns what changes and reports the configuration; undefined before `start`. */
  tryGetReplica(): ConfigurationReplicaTask | undefined;
  handle(message: ConfigurationMessage): void;
  close(): void;
}

export interface ConfigurationTaskOptions {
  readonly entryHost: EntryHostId;
  /** Address of this host for other entry hosts. */
  readonly address: string;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Addresses of the peers that are asked for their configuration at the start. */
  readonly seedPeers: readonly string[];
  readonly send: (address: string, message: PeerMessage) => void;
  readonly onChanged: (generation: Generation, settings: DeploymentSettings) => void;
}

/** Dependencies that all tasks of one entry host share. */
export interface HostContext {
  readonly settings: EntryHostSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly incarnation: Incarnation;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly engineClient: EngineClient;
  readonly serviceClient: ServiceClient;
  readonly store: PlatformClient;
  readonly admission: Admission;
}

export type HostTransport = PeerTransport<PeerMessage, PeerQuestion, PeerAnswer>;

/** The tasks of one entry host, connected to each other. */
export interface HostTasks {
  readonly membership: MembershipTask;
  readonly configuration: ConfigurationTask;
  readonly moves: MovesTask;
  readonly schedulers: LocalSchedulers;
  readonly orders: RecordingOrderExecutor;
  readonly services: CallerServices;
  receive(message: PeerMessage): void;
  answer(question: PeerQuestion): Promise<PeerAnswer>;
  start(): void;
  close(): Promise<void>;
}

/** What the order tasks of an entry host need from its other tasks. */
export interface OrderTasksOptions {
  readonly transport: HostTransport;
  readonly tryGetPeerAddress: (entryHost: EntryHostId) => string | undefined;
  readonly getServices: () => CallerServices;
  /** Returns the other live incarnations of every failure domain. */
  readonly listOtherIncarnations: () => readonly OrderOwner[];
  /** Whether this entry host is the delegate of its failure domain that removes expired claims. */
  readonly isFirstDelegate: () => boolean;
}

/** Tracks whether an incarnation has ended recently. */
export interface PeerHistory {
  handleMembersChanged(message: MembersChanged): void;
  getPeerView(peers: readonly OrderOwner[]): PeerView;
}

/** The order executor of an entry host with its dispatcher. */
export interface OrderTasks {
  readonly orders: RecordingOrderExecutor;
  readonly orderDispatcher: OrderDispatcher;
  /** Answers another entry host's question about an order. */
  readonly answerOwner: OwnerQuestions['answer'];
  handleMembersChanged(message: MembersChanged): void;
  close(): void;
}

/** Starts and cancels moves for operators. */
export interface MoveCommands {
  start(request: MoveRequest): Promise<Outcome<MoveRecord, MoveError>>;
  cancel(pool: PoolId): Promise<Outcome<MoveRecord, MoveError>>;
}
