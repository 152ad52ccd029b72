/** Types of placement: what backend servers load, and the orders sent to them. */
import type {
  BackendServerId,
  FailureDomainId,
  Generation,
  Milliseconds,
  Outcome,
  PoolId,
  VersionId,
} from '@rattanreel/core';
import type { Lease, LeaseState } from '@rattanreel/platform';
import type { SkippedBackendServer, PlacementDecision } from '@rattanreel/observability';

/** A backend server according to its last report and the settings. */
export interface PlacedServer {
  readonly backendServer: BackendServerId;
  readonly pool: PoolId;
  /** Whether it refuses an order with an old fencing token. */
  readonly checksFencing: boolean;
  /** Requests or tokens per second that it can serve, in the unit of the demand. */
  readonly throughput: number;
  /** The version that it has loaded or is loading. */
  readonly version: VersionId;
  /** Changes when its process restarts, which loses its adapters and its role. */
  readonly incarnation: string;
  readonly ready: boolean;
  /** Loaded, but not yet given its full throughput. */
  readonly cold: boolean;
  readonly leaving: boolean;
  readonly drained: boolean;
  readonly role: string;
  readonly running: number;
}

/** A pool's demand for one version in this failure domain. */
export interface VersionDemand {
  readonly pool: PoolId;
  readonly version: VersionId;
  /** Work per second, in the unit of the servers' throughput. */
  readonly work: number;
  /** The version has a share of the traffic, or traffic may fall back to it, so its last server must stay. */
  readonly carriesTraffic: boolean;
}

/** The number of servers of one version that need an adapter. */
export interface AdapterDemand {
  readonly pool: PoolId;
  readonly version: VersionId;
  readonly adapter: string;
  readonly servers: number;
}

/** The number of servers that a pool needs in one role. */
export interface RoleDemand {
  readonly pool: PoolId;
  readonly role: string;
  readonly servers: number;
}

export interface PlacementDemand {
  readonly versions: readonly VersionDemand[];
  readonly adapters: readonly AdapterDemand[];
  readonly roles: readonly RoleDemand[];
}

export type EngineOrder =
  | { readonly order: 'loadVersion'; readonly version: VersionId }
  | { readonly order: 'loadAdapter'; readonly adapter: string }
  | { readonly order: 'setRole'; readonly role: string };

/** Why a backend server was not chosen for an order. */
export type SkipReason =
  | 'drained'
  | 'leaving'
  | 'notReady'
  | 'otherVersion'
  | 'alreadyServes'
  | 'lastServerOfVersion'
  | 'wouldLeaveTooLittle'
  | 'orderUnderWay'
  | 'worseChoice';

/** An order that the demand requires. */
export interface PlannedEngineOrder {
  readonly backendServer: BackendServerId;
  readonly pool: PoolId;
  readonly order: EngineOrder;
  readonly reason: string;
  readonly alternatives: readonly SkippedBackendServer[];
}

/** Inputs to the planning of adapters and roles. */
export interface ServerSelectionOptions {
  /** The servers of the pool. */
  readonly servers: readonly PlacedServer[];
  readonly isBusy: (server: PlacedServer) => boolean;
  readonly hasAdapter: (server: PlacedServer, adapter: string) => boolean;
}

export interface PlacementPolicy {
  /** Ratio of the throughput provisioned for a version to its demand. */
  readonly headroomFactor: number;
  /** Fraction of its throughput that a cold server counts for. */
  readonly coldThroughputFactor: number;
  /** Minimum time between two version loads at one server. */
  readonly minimumLoadInterval: Milliseconds;
  /** Longest time that a lease can be held after its last renewal. */
  readonly leaseDuration: Milliseconds;
  /** Longest time that an order can be in flight. */
  readonly maximumOrderTime: Milliseconds;
  /** Longest time until an order's effect appears in a report. */
  readonly maximumReportDelay: Milliseconds;
  /** Time after an order until the state of a server that ignores fencing tokens is read back. */
  readonly readBackDelay: Milliseconds;
}

/** A rate limit of loads from the weight store. */
export interface LoadBudget {
  readonly loadsPerMinute: number;
  /** Number of loads that may be ordered at once after an idle time. */
  readonly burst: number;
}

/** Why an order to a backend server, or the read of its state, failed. */
export type EngineOrderError =
  /** The lease had expired or changed immediately before the send: nothing was sent. */
  | { readonly kind: 'leaseLost' }
  /** The server has already received an order of a newer lease holder. */
  | { readonly kind: 'staleFence'; readonly fence: Generation }
  | { readonly kind: 'refused'; readonly status: number; readonly detail: string }
  /** No byte was sent. */
  | { readonly kind: 'notConnected'; readonly detail: string }
  /** The order may have taken effect or may still do so. */
  | { readonly kind: 'outcomeUnknown'; readonly detail: string }
  | { readonly kind: 'invalidAnswer'; readonly detail: string };

/** The part of a backend server's report that an order can change. */
export interface EngineState {
  readonly incarnation: string;
  readonly version: VersionId;
  readonly role: string;
  readonly ready: boolean;
}

export interface LeaseChanged {
  readonly kind: 'leaseChanged';
  readonly lease: LeaseState;
}

export interface ServersReported {
  readonly kind: 'serversReported';
  readonly servers: readonly PlacedServer[];
}

export interface DemandChanged {
  readonly kind: 'demandChanged';
  readonly demand: PlacementDemand;
}

export interface OrderAnswered {
  readonly kind: 'orderAnswered';
  readonly backendServer: BackendServerId;
  readonly outcome: Outcome<void, EngineOrderError>;
}

/** The state that was read back from a backend server; undefined when the read failed. */
export interface StateRead {
  readonly kind: 'stateRead';
  readonly backendServer: BackendServerId;
  readonly state: EngineState | undefined;
}

export interface PlacementTimePassed {
  readonly kind: 'timePassed';
}

export type PlacementMessage =
  LeaseChanged | ServersReported | DemandChanged | OrderAnswered | StateRead | PlacementTimePassed;

/** Sends an order; the task checks the lease by the monotonic clock immediately before. */
export interface SendOrder {
  readonly kind: 'sendOrder';
  readonly backendServer: BackendServerId;
  readonly order: EngineOrder;
  readonly fence: Generation;
}

/** Reads the state of a backend server. */
export interface ReadState {
  readonly kind: 'readState';
  readonly backendServer: BackendServerId;
}

export interface LogPlacement {
  readonly kind: 'logPlacement';
  readonly decision: PlacementDecision;
}

export type PlacementEffect = SendOrder | ReadState | LogPlacement;

export interface PlacementControllerOptions {
  readonly failureDomain: FailureDomainId;
  /** This failure domain's part of the weight store's load budget. */
  readonly loadBudget: LoadBudget;
  readonly policy?: Partial<PlacementPolicy>;
}

/** Decides what the backend servers of one failure domain load. */
export interface PlacementController {
  /** Handles one message at monotonic time `now` and returns the effects to execute, in order. */
  handle(message: PlacementMessage, now: Milliseconds): readonly PlacementEffect[];
}

export interface EngineOrderSenderOptions {
  readonly lease: Lease;
  /** Longest wait for an answer; no order is in flight for longer. */
  readonly timeout?: Milliseconds;
}

/** Sends orders to backend servers while the placement lease is held. */
export interface EngineOrderSender {
  send(
    address: string,
    order: EngineOrder,
    fence: Generation,
  ): Promise<Outcome<void, EngineOrderError>>;
  readState(address: string): Promise<Outcome<EngineState, EngineOrderError>>;
  close(): Promise<void>;
}
