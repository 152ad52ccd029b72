/** Types of the goodput benchmark. */
import type {
  BackendServerId,
  CustomerId,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  Random,
  RequestId,
  TierRank,
  VirtualClock,
} from '@rattanreel/core';
import type { EngineModel, HardwareGeneration } from '@rattanreel/stand-in-engine-model';
import type { EntryHostIncarnation, PoolBackendServer } from '@rattanreel/scheduling';

export interface TierProfile {
  readonly id: string;
  /** Share of the offered work. */
  readonly share: number;
  /** Deadline for the first token. */
  readonly firstTokenMilliseconds: Milliseconds;
  /** Added to the deadline of the whole response for each requested output token. */
  readonly betweenTokensMilliseconds: Milliseconds;
}

export interface CustomerProfile {
  readonly id: CustomerId;
  /** Share of the requests. */
  readonly share: number;
  readonly weight: number;
}

export interface FailureDomainProfile {
  readonly id: FailureDomainId;
  /** Share of the callers whose home is this failure domain. */
  readonly callerShare: number;
  readonly engines: readonly HardwareGeneration[];
  /** Number of order books, which serve the calls of the service pool. */
  readonly orderBooks: number;
}

export interface DeploymentProfile {
  readonly name: string;
  readonly failureDomains: readonly FailureDomainProfile[];
  readonly entryHostsPerDomain: number;
  readonly withinDomainMilliseconds: Milliseconds;
  readonly betweenDomainsMilliseconds: Milliseconds;
  readonly toCallersMilliseconds: Milliseconds;
  readonly tiers: readonly TierProfile[];
  readonly customers: readonly CustomerProfile[];
  /** Calls of the service pool a second; 0 without order books. */
  readonly serviceCallsPerSecond: number;
}

/** Pools of the benchmark. */
export type PoolName = 'drafts' | 'orders';

/** One request of a caller; the same for every policy. */
export interface Arrival {
  readonly request: RequestId;
  readonly pool: PoolName;
  readonly at: Milliseconds;
  readonly homeDomain: FailureDomainId;
  /** Random number in [0, 1) that selects the entry host among those alive. */
  readonly hostDraw: number;
  readonly tier: TierRank;
  readonly customer: CustomerId;
  readonly customerWeight: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly maximumOutputTokens: number;
  readonly prefixHashes: readonly string[];
  /** Leading prompt tokens that other requests share. */
  readonly sharedTokens: number;
  readonly firstTokenDue: Milliseconds;
  readonly due: Milliseconds;
  readonly length: 'short' | 'middle' | 'long';
  /** Minimum time that a reference engine needs for it. */
  readonly work: Milliseconds;
}

export type FaultAction =
  | { readonly kind: 'slowEngine'; readonly engine: number; readonly factor: number }
  | { readonly kind: 'coldTurn'; readonly engine: number }
  | { readonly kind: 'drainDomain'; readonly domain: number }
  | { readonly kind: 'loseDomain'; readonly domain: number }
  | { readonly kind: 'returnDomain'; readonly domain: number }
  | { readonly kind: 'killSchedulerHost'; readonly domain: number };

export interface Fault {
  readonly at: Milliseconds;
  readonly action: FaultAction;
}

export type ScenarioName =
  | 'steady70'
  | 'overload200'
  | 'burst'
  | 'slowEngine'
  | 'coldTurn'
  | 'domainLeavesAndReturns'
  | 'schedulerHostDies'
  | 'staleReports';

/** Load from an instant on, as a share of the capacity bound of the whole deployment. */
export interface LoadStep {
  readonly from: Milliseconds;
  readonly load: number;
}

export interface Scenario {
  readonly name: ScenarioName;
  readonly load: readonly LoadStep[];
  readonly faults: readonly Fault[];
  readonly reportLag: Milliseconds;
}

/** Window in which arrivals count; arrivals before and after it only keep up the load. */
export interface MeasuredWindow {
  readonly from: Milliseconds;
  readonly to: Milliseconds;
  /** Time at which arrivals end. */
  readonly end: Milliseconds;
}

export type PolicyName = 'rattanreel' | 'roundRobin' | 'leastReported' | 'leastInFlight';

export type RequestOutcome =
  'open' | 'answered' | 'callerLeft' | 'refused' | 'failed' | 'entryHostDied';

/** Progress and outcome of one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  entryHost: EntryHostId | undefined;
  outcome: RequestOutcome;
  firstTokenAfter: Milliseconds | undefined;
  endedAt: Milliseconds | undefined;
  refusal: string | undefined;
}

export interface SimulatedEngine {
  readonly id: BackendServerId;
  readonly pool: PoolName;
  readonly failureDomain: FailureDomainId;
  readonly settings: PoolBackendServer;
  readonly model: EngineModel;
  /** Whether connections reach it. */
  reachable: boolean;
}

export interface SimulatedHost {
  readonly id: EntryHostId;
  readonly failureDomain: FailureDomainId;
  alive: boolean;
  incarnation: string;
}

/** Result of a dispatch, reported to the entry host that made it. */
export type DispatchEnd =
  | { readonly kind: 'completed'; readonly cachedTokens: number; readonly outputTokens: number }
  | { readonly kind: 'notConnected' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'failed'; readonly outputTokens: number }
  | { readonly kind: 'cancelled'; readonly outputTokens: number };

export interface DispatchListener {
  onFirstToken(cachedTokens: number): void;
  onEnd(end: DispatchEnd): void;
}

/** A request that an entry host handles. */
export interface RequestTask {
  readonly arrival: Arrival;
  readonly record: RequestRecord;
  readonly host: SimulatedHost;
  /** Incarnation of the host when it accepted the request. */
  readonly incarnation: string;
}

/** The part of the simulation that is the same for every policy. */
export interface World {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly deployment: DeploymentProfile;
  readonly engines: readonly SimulatedEngine[];
  readonly hosts: readonly SimulatedHost[];
  readonly drainedDomains: ReadonlySet<FailureDomainId>;
  getEngine(id: BackendServerId): SimulatedEngine;
  getHost(id: EntryHostId): SimulatedHost;
  getLatency(from: FailureDomainId, to: FailureDomainId): Milliseconds;
  /**
   * Runs `action` after the latency between the two failure domains, unless the receiving
   * incarnation is dead.
   */
  sendToHost(from: FailureDomainId, to: EntryHostIncarnation, action: () => void): void;
  dispatch(task: RequestTask, engine: SimulatedEngine, listener: DispatchListener): void;
  /** Cancels the request at the engine. */
  cancel(from: FailureDomainId, engine: SimulatedEngine, request: RequestId): void;
  /** Refuses the request and informs the caller. */
  refuseRequest(task: RequestTask, reason: string): void;
  failRequest(task: RequestTask): void;
  completeRequest(task: RequestTask): void;
  recordFirstToken(task: RequestTask): void;
  isStillRunning(task: RequestTask): boolean;
}

/** Dispatches requests to engines in one way, driven by the events of the world. */
export interface Policy {
  start(): void;
  arrive(task: RequestTask): void;
  handleCallerDisconnect(task: RequestTask): void;
  handleDomainDrain(failureDomain: FailureDomainId, drained: boolean): void;
  handleHostDeath(host: SimulatedHost): void;
  handleHostStart(host: SimulatedHost): void;
  /** Returns the entry host that a scenario kills as the host of a scheduler. */
  getSchedulerHost(failureDomain: FailureDomainId): SimulatedHost;
  getObservations(): PolicyObservations;
}

export interface PolicyObservations {
  /** Time from the death of a scheduler's host to the first grant of its successor. */
  readonly grantsResumedAfterMilliseconds: Milliseconds | undefined;
  /** Streams of surviving hosts cancelled by a scheduler. */
  readonly streamsCut: number;
}

/** Figures of one policy in one scenario. Work is in milliseconds of the reference engine. */
export interface PolicyResult {
  readonly goodputByTier: readonly number[];
  readonly offeredByTier: readonly number[];
  readonly goodputRequestsByTier: readonly number[];
  readonly offeredRequestsByTier: readonly number[];
  readonly wastedPrefillShare: number;
  readonly firstTokenP95Milliseconds: number;
  readonly firstTokenP95ByTier: readonly number[];
  readonly longRequestsFinishedShare: number;
  readonly shortRequestsFinishedShare: number;
  readonly longRequestsFinishedShareByTier: readonly number[];
  readonly shortRequestsFinishedShareByTier: readonly number[];
  readonly outcomes: Readonly<Record<RequestOutcome, number>>;
  readonly refusals: Readonly<Record<string, number>>;
  readonly dispatchedTwice: number;
  readonly grantsResumedAfterMilliseconds?: number;
  readonly streamsCut?: number;
  readonly goodputBackAfterSeconds?: number;
}

export interface TargetResult {
  readonly target: string;
  readonly met: boolean;
  /** Measured value. */
  readonly figure: number;
  readonly bound: number;
}

export interface ScenarioResult {
  readonly name: ScenarioName;
  readonly deployment: string;
  readonly policies: Readonly<Record<PolicyName, PolicyResult>>;
  /** Upper bound of the work that the engines could have done in the measured window. */
  readonly capacityBound: number;
  readonly targets: readonly TargetResult[];
}
