/** State of one pool scheduler, shared by its decisions. */
import type {
  BackendServerId,
  FailureDomainId,
  Milliseconds,
  Random,
  RequestId,
  TierRank,
  VersionId,
} from '@rattanreel/core';
import type createSlotTable from '../servers/createSlotTable';
import type { DeferredRefusals, RequestQueue } from '../queue/types';
import type { BackendServer, OccupiedSlot } from '../servers/types';
import type {
  GrantRequested,
  EntryHostIncarnation,
  RemotePool,
  PoolSchedulerOptions,
  RejectedAlternative,
  SchedulerEffect,
  SchedulerPolicy,
  VersionShare,
} from '../types';

/** Credit accounts that limit each version to its share of the traffic. */
export interface VersionShares {
  /** Whether `version` may get a new request now. */
  isAllowed(version: VersionId): boolean;
  /** Whether `version` has any share. */
  hasShare(version: VersionId): boolean;
  /**
   * Returns the credit of a version relative to its share. A backend server whose version has none
   * is penalised when one is chosen.
   */
  getCredit(version: VersionId): number;
  recordOffered(tokens: number): void;
  recordGranted(version: VersionId, tokens: number): void;
  configure(shares: readonly VersionShare[]): void;
  veto(version: VersionId): void;
}

/** Limits how much is spilled over to the announced spare capacity of other failure domains. */
export interface SpillBudget {
  /**
   * Reserves `tokens` of a remote pool's spare capacity and returns its failure domain; undefined
   * when none has usable capacity.
   */
  tryReserve(tier: TierRank, tokens: number, now: Milliseconds): FailureDomainId | undefined;
  configure(remotePools: readonly RemotePool[], now: Milliseconds): void;
}

/**
 * Limits how many urgent requests are spilled over to failure domains where they take precedence
 * over lower tiers.
 */
export interface PrioritySpillBudget {
  /**
   * Takes `tokens` from the token bucket of a remote pool and returns its failure domain; undefined
   * when no bucket has tokens. Buckets are refilled at a fraction of `rate`, which is in tokens per
   * millisecond.
   */
  tryReserve(rate: number, tokens: number, now: Milliseconds): FailureDomainId | undefined;
  configure(remotePools: readonly RemotePool[], now: Milliseconds): void;
}

/** Keeps lower tiers from using capacity that a refused request could have used. */
export interface RefusalBarrier {
  blockBelow(tier: TierRank, until: Milliseconds): void;
  /** Returns until when requests of `tier` must wait because a higher tier was refused. */
  getBlockedUntil(tier: TierRank): Milliseconds;
}

/** Delays grants after a start until the entry hosts have reported what they have in flight. */
export interface Handover {
  isOver(now: Milliseconds): boolean;
  /** Returns when the handover can end without a further message; undefined when it is over. */
  tryGetEnd(now: Milliseconds): Milliseconds | undefined;
  recordReport(from: EntryHostIncarnation): void;
  setMembers(alive: readonly EntryHostIncarnation[]): void;
}

/** Estimates of answer lengths and of how long slots are occupied. */
export interface WorkEstimates {
  readonly meanHoldingTime: Milliseconds | undefined;
  readonly meanCostTokens: number;
  /** Mean memory reserved by a granted request. */
  readonly meanReservedTokens: number;
  /** Share of prompt tokens in the cost. */
  readonly promptShare: number;
  /** Returns the memory to reserve for a request, in tokens. */
  getReservedTokens(grantRequest: GrantRequested): number;
  estimateOutputTokens(route: string, maximumOutputTokens: number): number;
  addOutputSample(route: string, maximumOutputTokens: number, outputTokens: number): void;
  addHoldingSample(slot: OccupiedSlot, outputTokens: number, duration: Milliseconds): void;
}

/** Recent demand by tier. */
export interface DemandTracker {
  /** Returns the demand in tokens per millisecond. */
  getRate(tier: TierRank, now: Milliseconds): number;
  /** Returns the demand of all tiers above `tier` in tokens per millisecond. */
  getRateAbove(tier: TierRank, now: Milliseconds): number;
  recordArrival(tier: TierRank, tokens: number, now: Milliseconds): void;
}

/** Estimated throughput of a pool. */
export interface PoolThroughput {
  /** The fastest usable backend servers, fastest first. */
  readonly fastest: readonly BackendServer[];
  /** Concurrent streams that the pool can run now or soon. */
  readonly slots: number;
  /** Prompt tokens that the pool computes per millisecond. */
  readonly prefillRate: number;
  readonly largestMemoryTokens: number;
  /** Time between tokens of the fastest backend server when idle. */
  readonly tokenTime: Milliseconds;
}

export interface SchedulerState {
  readonly options: PoolSchedulerOptions;
  readonly policy: SchedulerPolicy;
  readonly random: Random;
  readonly queue: RequestQueue;
  readonly deferredRefusals: DeferredRefusals;
  readonly slotTable: ReturnType<typeof createSlotTable>;
  readonly servers: Map<BackendServerId, BackendServer>;
  readonly versionShares: VersionShares;
  readonly spillBudget: SpillBudget;
  readonly prioritySpillBudget: PrioritySpillBudget;
  readonly refusalBarrier: RefusalBarrier;
  readonly handover: Handover;
  readonly workEstimates: WorkEstimates;
  readonly demandTracker: DemandTracker;
  /** Recently finished requests, so that a late repetition is not granted again. */
  readonly finishedRequests: Set<RequestId>;
  /** Backend servers to which recent requests could not be connected, by request. */
  readonly unconnected: Map<RequestId, ReadonlySet<BackendServer>>;
  /** Incarnations declared dead. */
  readonly deadIncarnations: Set<string>;
  /** Times at which the slots of dead incarnations are released, by request. */
  readonly orphanedSlots: Map<RequestId, Milliseconds>;
  effects: SchedulerEffect[];
  domainDrained: boolean;
  tierCount: number;
  sequence: number;
  poolThroughput: PoolThroughput | undefined;
  poolThroughputAt: Milliseconds;
}

/** Expected cache hits and times of a request at a backend server. */
export interface CompletionEstimate {
  readonly cachedTokens: number;
  readonly prefillTokens: number;
  readonly firstTokenAfter: Milliseconds;
  readonly finishAfter: Milliseconds;
}

/** The backend servers that can take another stream, and why the others cannot. */
export interface ServerAvailability {
  readonly available: readonly BackendServer[];
  readonly unavailable: readonly RejectedAlternative[];
}

/** A backend server chosen for a request. */
export type ChosenServer = Extract<ServerChoice, { readonly kind: 'chosen' }>;

/** Result of choosing a backend server for one request. */
export type ServerChoice =
  | {
      readonly kind: 'chosen';
      readonly server: BackendServer;
      readonly estimate: CompletionEstimate;
      readonly rejected: readonly RejectedAlternative[];
    }
  /** `serverToReserve` is the backend server to keep free for the request. */
  | { readonly kind: 'none'; readonly serverToReserve: BackendServer | undefined };
