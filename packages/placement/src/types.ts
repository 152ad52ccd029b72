/** What backend servers load, and the orders that tell them so. */
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

/** A backend server as its last report and the settings show it. */
export interface PlacedServer {
  readonly backendServer: BackendServerId;
  readonly pool: PoolId;
  /** Whether it refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
  /** Requests or tokens a second that it can serve, in the unit of the demand. */
  readonly throughput: number;
  /** Version that it has loaded or is loading. */
  readonly version: VersionId;
  /** Changes when its process starts anew, which loses its adapters and its role. */
  readonly incarnation: string;
  readonly ready: boolean;
  /** Loaded, but not yet trusted with all the work it can bear. */
  readonly cold: boolean;
  readonly leaving: boolean;
  readonly drained: boolean;
  readonly role: string;
  readonly running: number;
}

/** What a pool needs of one version in this failure domain. */
export interface VersionDemand {
  readonly pool: PoolId;
  readonly version: VersionId;
  /** Work a second, in the unit of the servers' speed. */
  readonly work: number;
  /** The version has a share of the traffic, or traffic falls back to it: its last server stays. */
  readonly carriesTraffic: boolean;
}

/** A number of servers of one version that need an adapter. */
export interface AdapterDemand {
  readonly pool: PoolId;
  readonly version: VersionId;
  readonly adapter: string;
  readonly servers: number;
}

/** A number of servers that a pool needs in one role. */
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

/** An order that the demand asks for. */
export interface PlannedEngineOrder {
  readonly backendServer: BackendServerId;
  readonly pool: PoolId;
  readonly order: EngineOrder;
  readonly reason: string;
  readonly alternatives: readonly SkippedBackendServer[];
}

/** What the planning of adapters and roles works on. */
export interface ServerSelectionOptions {
  /** Servers of the pool. */
  readonly servers: readonly PlacedServer[];
  readonly isBusy: (server: PlacedServer) => boolean;
  readonly hasAdapter: (server: PlacedServer, adapter: string) => boolean;
}

export interface PlacementPolicy {
  /** Room above the demand that each version keeps. */
  readonly headroomFactor: number;
  /** Part of its speed that a cold server counts for. */
  readonly coldThroughputFactor: number;
  /** Least time between two version loads at one server. */
  readonly minimumLoadInterval: Milliseconds;
  /** How long a lease can be held after its last renewal. */
  readonly leaseDuration: Milliseconds;
  /** Longest time that an order can be on its way. */
  readonly maximumOrderTime: Milliseconds;
  /** Longest time until an order's effect shows in a report. */
  readonly maximumReportDelay: Milliseconds;
  /** Time after an order until the state of a server that ignores fences is read back. */
  readonly readBackDelay: Milliseconds;
}

/** A rate of loads from the weight store. */
export interface LoadBudget {
  readonly loadsPerMinute: number;
  /** Loads that may be asked for at once after a quiet time. */
  readonly burst: number;
}

/** What came of an order to a backend server. */
export type EngineOrderError =
  /** The lease had lapsed or changed right before the send: nothing was sent. */
  | { readonly kind: 'leaseLost' }
  /** A newer holder has ordered already. */
  | { readonly kind: 'staleFence'; readonly fence: Generation }
  | { readonly kind: 'refused'; readonly status: number; readonly detail: string }
  /** No byte was sent. */
  | { readonly kind: 'notConnected'; readonly detail: string }
  /** The order may have been taken, or may still be. */
  | { readonly kind: 'outcomeUnknown'; readonly detail: string }
  | { readonly kind: 'invalidAnswer'; readonly detail: string };

/** The part of a backend server's report that an order changes. */
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

/** The state that was read back from a backend server; undefined when it could not be had. */
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

/** Sends an order; the task checks the lease by the monotonic clock right before. */
export interface SendOrder {
  readonly kind: 'sendOrder';
  readonly backendServer: BackendServerId;
  readonly order: EngineOrder;
  readonly fence: Generation;
}

/** Asks a backend server for its state. */
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
  /** This failure domain's part of the weight store's rate. */
  readonly loadBudget: LoadBudget;
  readonly policy?: Partial<PlacementPolicy>;
}

/** Decides what the backend servers of one failure domain load. */
export interface PlacementController {
  /** Takes one message at monotonic time `now` and returns what is to be done, in order. */
  handle(message: PlacementMessage, now: Milliseconds): readonly PlacementEffect[];
}

export interface EngineOrderSenderOptions {
  readonly lease: Lease;
  /** Longest wait for an answer; no order is on its way for longer. */
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
