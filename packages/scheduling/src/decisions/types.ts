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

/** Credit account of the versions' shares. */
export interface VersionShares {
  /** Whether `version` may get a new request now. */
  isAllowed(version: VersionId): boolean;
  /** Whether `version` has any share. */
  hasShare(version: VersionId): boolean;
  /** Credit of a version relative to its share; the version with most credit comes first. */
  getCredit(version: VersionId): number;
  recordOffered(tokens: number): void;
  recordGranted(version: VersionId, tokens: number): void;
  configure(shares: readonly VersionShare[]): void;
  veto(version: VersionId): void;
}

/** Bounds what is passed on to other failure domains. */
export interface SpillBudget {
  /** Takes `tokens` of a neighbour's room; undefined when none has enough. */
  tryReserve(tier: TierRank, tokens: number, now: Milliseconds): FailureDomainId | undefined;
  configure(remotePools: readonly RemotePool[], now: Milliseconds): void;
}

/** Lets requests in danger go where they come before lower tiers. */
export interface PrioritySpillBudget {
  /** Takes `tokens` of a neighbour's allowance, which fills by a share of `rate` tokens a millisecond. */
  tryReserve(rate: number, tokens: number, now: Milliseconds): FailureDomainId | undefined;
  configure(remotePools: readonly RemotePool[], now: Milliseconds): void;
}

/** Keeps capacity that a refused request could have used from lower tiers. */
export interface RefusalBarrier {
  blockBelow(tier: TierRank, until: Milliseconds): void;
  /** Until when requests of `tier` must wait because a higher tier was refused. */
  getBlockedUntil(tier: TierRank): Milliseconds;
}

/** Waits for the entry hosts' accounts of what is in flight. */
export interface Handover {
  isOver(now: Milliseconds): boolean;
  /** When time alone may end it; undefined when it is over. */
  tryGetEnd(now: Milliseconds): Milliseconds | undefined;
  recordReport(from: EntryHostIncarnation): void;
  setMembers(alive: readonly EntryHostIncarnation[]): void;
}

/** Expected lengths of answers and times that slots are held. */
export interface WorkEstimates {
  readonly meanHoldingTime: Milliseconds | undefined;
  readonly meanCostTokens: number;
  /** Mean memory reserved by a granted request. */
  readonly meanReservedTokens: number;
  /** Share of prompt tokens in the cost. */
  readonly promptShare: number;
  /** Memory to set aside for a request. */
  getReservedTokens(grantRequest: GrantRequested): number;
  estimateOutputTokens(route: string, maximumOutputTokens: number): number;
  addOutputSample(route: string, maximumOutputTokens: number, outputTokens: number): void;
  addHoldingSample(slot: OccupiedSlot, outputTokens: number, duration: Milliseconds): void;
}

/** Tokens asked for of late, by tier. */
export interface DemandTracker {
  /** Tokens a millisecond. */
  getRate(tier: TierRank, now: Milliseconds): number;
  /** Tokens a millisecond of all tiers above `tier`. */
  getRateAbove(tier: TierRank, now: Milliseconds): number;
  recordArrival(tier: TierRank, tokens: number, now: Milliseconds): void;
}

/** The fastest times of an idle backend server of the pool. */
export interface PoolThroughput {
  /** The fastest usable backend servers, the fastest first. */
  readonly fastest: readonly BackendServer[];
  /** Streams that the pool can soon run at once. */
  readonly slots: number;
  /** Prompt tokens that the pool computes in a millisecond. */
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
  /** Requests that ended lately, so that a late repetition is not served again. */
  readonly finishedRequests: Set<RequestId>;
  /** Incarnations declared dead. */
  readonly deadIncarnations: Set<string>;
  /** Slots of dead incarnations by the time at which they are freed. */
  readonly orphanedSlots: Map<RequestId, Milliseconds>;
  effects: SchedulerEffect[];
  domainDrained: boolean;
  tierCount: number;
  sequence: number;
  poolThroughput: PoolThroughput | undefined;
  poolThroughputAt: Milliseconds;
}

/** Expected course of a request at a backend server. */
export interface CompletionEstimate {
  readonly cachedTokens: number;
  readonly prefillTokens: number;
  readonly firstTokenAfter: Milliseconds;
  readonly finishAfter: Milliseconds;
}

/** The backend servers with room for a stream, and why the others have none. */
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
  /** `reserve` is the backend server that is to be kept free for the request. */
  | { readonly kind: 'none'; readonly serverToReserve: BackendServer | undefined };
