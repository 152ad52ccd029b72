/** Messages between entry hosts, and the tasks of one entry host. */
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
import type { DecisionLog, Logger, Metrics, RecordedDecision } from '@rattanreel/observability';
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
import type { PeerTransport, TransportSettingsError } from '@rattanreel/transport';
import type { CallerServices, OrderDispatcher } from './callers/types';
import type { MovePeerMessage, MovesTask } from './moves/types';
import type { LocalSchedulers } from './scheduling/types';

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
    }
  | { readonly kind: 'membership'; readonly message: MembershipPeerMessage }
  | { readonly kind: 'configuration'; readonly message: ConfigurationPeerMessage }
  | { readonly kind: 'move'; readonly pool: PoolId; readonly message: MovePeerMessage };

/** A question about an order that the receiver claimed or issued the ticket of. */
export interface OrderQuestion {
  readonly kind: 'order';
  readonly incarnation: Incarnation;
  readonly nonce: string | undefined;
  readonly order: OrderRequest;
}

/** Questions between entry hosts. */
export type PeerQuestion =
  | OrderQuestion
  /** Asks for the decisions kept about a request. */
  | { readonly kind: 'decisions'; readonly request: RequestId };

export type PeerAnswer =
  | { readonly kind: 'order'; readonly answer: OwnerAnswer }
  | { readonly kind: 'decisions'; readonly decisions: readonly RecordedDecision[] };

/** The membership of this entry host, as a task. */
export interface MembershipTask {
  start(): void;
  /** This entry host with its present incarnation; it changes when the host was declared dead. */
  self(): EntryHostIncarnation;
  handle(message: MembershipMessage): void;
  view(): MembershipView;
  /** The entry host that schedules a pool in a failure domain; undefined when none is known. */
  tryGetScheduler(pool: PoolId, failureDomain: FailureDomainId): EntryHostIncarnation | undefined;
  /** Says that this incarnation ends, and stops. */
  close(): void;
  /** Stops without a word. */
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
  /** A peer has a later configuration in force. */
  readonly onLaterGeneration: (effect: LaterGenerationSeen) => void;
}

/** Questions between entry hosts about orders. */
export interface OwnerQuestions {
  readonly askOwner: AskOwner;
  answer(question: OrderQuestion): Promise<OwnerAnswer>;
}

export interface OwnerQuestionsOptions {
  /** Incarnation that the order desk of this process was made with. */
  readonly incarnation: Incarnation;
  readonly transport: Pick<PeerTransport<PeerMessage, PeerQuestion, PeerAnswer>, 'ask'>;
  readonly tryGetAddress: (entryHost: EntryHostId) => string | undefined;
  readonly getOrderExecutor: () => OrderExecutor;
}

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
  getBackendServers(pool: PoolId, failureDomain: string): readonly BackendServerSettings[];
  /** Failure domains that have backend servers of a pool. */
  getFailureDomains(pool: PoolId): readonly FailureDomainId[];
  /** Rank of a tier by name; the lowest for an unknown name. */
  getTierRank(tier: string): TierRank;
  getTier(rank: TierRank): TierSettings;
}

/** Requests in hand at this entry host, so that a stop can wait for them. */
export interface Admission {
  /** False once a stop has begun or the bound is reached. */
  tryAdmit(): boolean;
  /** Counts further work of a request that was admitted. */
  enter(): void;
  release(): void;
  stop(): void;
  /** Resolves once nothing is in hand. */
  waitUntilDrained(): Promise<void>;
  isStopping(): boolean;
  inFlight(): number;
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

/** The configuration in force at one entry host, as a task. */
export interface ConfigurationTask {
  start(): void;
  tryGetSettings(): SettingsView | undefined;
  /** The task that changes and reports the configuration; undefined before the start. */
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
  /** Addresses of peers that are asked at the start. */
  readonly seedPeers: readonly string[];
  readonly send: (address: string, message: PeerMessage) => void;
  readonly onChanged: (generation: Generation, settings: DeploymentSettings) => void;
}

/** What all tasks of one entry host share. */
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

/** The tasks of one entry host, bound to each other. */
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

/** What the order desk of an entry host needs of the tasks around it. */
export interface OrderTasksOptions {
  readonly transport: HostTransport;
  readonly tryGetPeerAddress: (entryHost: EntryHostId) => string | undefined;
  readonly getServices: () => CallerServices;
  /** The other live incarnations, of every failure domain. */
  readonly listOtherIncarnations: () => readonly OrderOwner[];
  /** Whether this entry host is the one of its failure domain that removes expired claims. */
  readonly isFirstDelegate: () => boolean;
}

/** Remembers whether an incarnation has ended lately. */
export interface PeerHistory {
  handleMembersChanged(message: MembersChanged): void;
  view(peers: readonly OrderOwner[]): PeerView;
}

/** The order desk of an entry host with its dispatcher. */
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
