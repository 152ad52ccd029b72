/** Types of a pool at one host: backend servers, queued requests and the retry budget. */
import type {
  BackendServerId,
  Clock,
  CustomerId,
  FailureDomainId,
  Milliseconds,
  Random,
  TierRank,
  PoolId,
} from '@rattanreel/core';
import type {
  LimitPacing,
  CustomerUse,
  ListedServer,
  PeerCustomerUse,
  PoolSettings,
  RelayCustomer,
  RefusalReason,
  ServerState,
  QueuedRequest,
  ServerProcess,
  SlotSharing,
  AttemptFigures,
} from '../types';
import type { MovingAverage, ServerEmbargo } from '../decisions/types';
import type { LoanExchange } from '../limits/types';
import type { FairSharing, ShareState } from '../fairness/types';
import type { Rollouts } from '../rollouts/types';
import type { AgedServerLoad, ServerSpeeds } from '../speed/types';

export type AdmissionDecision =
  { readonly kind: 'waiting' } | { readonly kind: 'refused'; readonly reason: RefusalReason };

/** State of a pool as known to this host. */
export interface PoolState {
  readonly waiting: number;
  /** Slots of usable servers, and those in use by all hosts. */
  readonly places: number;
  readonly taken: number;
  readonly takenByTier: number;
  readonly expectedWait: Milliseconds;
  /** The customer's share of its tier's slots and its use; absent while customers don't compete. */
  readonly customer?: ShareState;
}

export interface PoolQueue {
  /** Queues a request, or refuses it if it cannot be served in time. */
  enqueue(request: QueuedRequest): AdmissionDecision;
  cancel(request: QueuedRequest): void;
  /** Releases a granted slot that was not used. */
  releaseUnusedSlot(server: ServerState, tier: TierRank, customer?: CustomerId): void;
  /** Releases the slot of an attempt and records its measurements. */
  completeAttempt(
    server: ServerState,
    tier: TierRank,
    figures: AttemptFigures,
    customer?: CustomerId,
  ): void;
  /** Records the load and the speed that a server reported with a response. */
  recordLoadReport(server: ServerState, load: AgedServerLoad): void;
  trySpendRetry(): boolean;
  recordRequest(): void;
  /** Records that a server announced in a response that it is leaving. */
  recordLeaving(server: ServerState): void;
  /** Takes over a slot that another host granted; undefined if the server is unknown. */
  tryAdoptSlot(
    server: BackendServerId,
    tier: TierRank,
    customer?: CustomerId,
  ): ServerState | undefined;
  /**
   * Sets the requests of the other hosts: in flight by server and by route tier, queued by rank,
   * and both by customer.
   */
  setPeerLoad(
    inFlight: ReadonlyMap<BackendServerId, number>,
    byTier: ReadonlyMap<TierRank, number>,
    queuedByRank: ReadonlyMap<number, number>,
    byCustomer: PeerCustomerUse,
  ): void;
  /** Returns this host's requests in flight, by route tier. */
  getOwnInFlightByTier(): ReadonlyMap<TierRank, number>;
  /** Returns this host's queued requests, by rank. */
  getQueuedByRank(): ReadonlyMap<number, number>;
  /** Returns this host's slots in use by customer; undefined unless slots are scarce. */
  tryGetCustomerUse(): CustomerUse | undefined;
  setSharing(sharing: SlotSharing): void;
  /** Grants free slots to queued requests. */
  grantSlots(): void;
  readonly size: number;
  /** Returns the state on which a decision about a request is based. */
  getState(request: Pick<QueuedRequest, 'customer' | 'priority'>): PoolState;
  readonly sharing: FairSharing;
}

/** Averages over a pool, against which a server is compared. */
export interface PoolAverages {
  readonly chunkInterval: MovingAverage;
  readonly singleChunkDuration: MovingAverage;
  readonly timeToFirstData: MovingAverage;
  readonly duration: MovingAverage;
  /** Time per requested output token; 0 until a response with several chunks was received. */
  readonly timePerToken: MovingAverage;
}

export interface ServerStateMap {
  readonly byId: ReadonlyMap<BackendServerId, ServerState>;
  /**
   * Replaces the list of a pool's servers. The state of a server is kept while its address and its
   * start time stay the same.
   */
  replaceServers(servers: readonly ListedServer[], now: Milliseconds): void;
}

export interface SlotTrackerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly ownDomain: FailureDomainId;
  readonly serverStates: ServerStateMap;
  readonly getEvacuated: () => ReadonlySet<FailureDomainId>;
  /** Servers that asked this host to send nothing. */
  readonly embargo: Pick<ServerEmbargo, 'isEmbargoed'>;
  readonly getSettings: () => PoolSettings | undefined;
  /** Called when the requests in flight change, with whether capacity is scarce. */
  readonly onInFlightChange: (isScarce: boolean) => void;
  /**
   * Returns whether a server of this slowness, 1 being average, is expected to complete a response
   * within the request's deadline.
   */
  readonly canMeetDeadline: (slowness: number, request: QueuedRequest) => boolean;
  /** Returns the pacing of requests to a server; undefined while it names no limit. */
  readonly getPacing: (server: ServerState) => LimitPacing | undefined;
  /** Returns the slots of a server that this host may use; undefined if hosts share them. */
  readonly getOwnSlots: (server: ServerState) => number | undefined;
  /** The roll-outs in force. */
  readonly rollouts: Pick<Rollouts, 'getUse' | 'mayTry' | 'recordGrant' | 'recordAttempt'>;
  /** The reported speeds of the servers. */
  readonly speeds: ServerSpeeds;
  /** Mean time for which a request holds its slot. */
  readonly getMeanDuration: () => Milliseconds;
  /** Returns the time between two requests of this host to a cold server. */
  readonly getColdRequestInterval: (server: BackendServerId, rate: number) => Milliseconds;
}

/** The pools of a host. */
export interface Pools {
  /** The reported speeds of the servers of all pools. */
  readonly speeds: ServerSpeeds;
  getQueue(pool: PoolId): PoolQueue;
  /** Sets the pools' settings, and the customers that share their slots. */
  setSettings(settings: readonly PoolSettings[], customers?: readonly RelayCustomer[]): void;
  setServers(servers: readonly ListedServer[]): void;
  /** Sets which hosts share the slots and the rates of cold servers, and the size of the fleet. */
  setSharing(sharing: SlotSharing): void;
  /** Marks servers as leaving, as another host has seen. */
  markLeaving(servers: readonly ServerProcess[]): void;
  /** Lists the servers that announced in a response that they are leaving. */
  listLeaving(): readonly ServerProcess[];
  /** This host's requests in flight, by backend server. */
  countOwnInFlight(): ReadonlyMap<BackendServerId, number>;
  /** Marks the servers of these failure domains as cold, since they may have been idle. */
  markCold(failureDomains: readonly FailureDomainId[]): void;
  /** The slots of brittle servers that are lent between hosts. */
  readonly loans: LoanExchange;
  forEachQueue(action: (queue: PoolQueue, pool: PoolId) => void): void;
}
