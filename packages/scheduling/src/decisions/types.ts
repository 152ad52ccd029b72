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
import type createLedger from '../servers/createLedger';
import type { DeferredRefusals, RequestQueue } from '../queue/types';
import type { BackendServer, InFlight } from '../servers/types';
import type {
  GrantRequested,
  EntryHostIncarnation,
  NeighbourPool,
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
  creditOf(version: VersionId): number;
  offered(tokens: number): void;
  granted(version: VersionId, tokens: number): void;
  configure(shares: readonly VersionShare[]): void;
  veto(version: VersionId): void;
}

/** Bounds what is passed on to other failure domains. */
export interface SpillBudget {
  /** Takes `tokens` of a neighbour's room; undefined when none has enough. */
  tryTake(tier: TierRank, tokens: number, now: Milliseconds): FailureDomainId | undefined;
  configure(neighbours: readonly NeighbourPool[], now: Milliseconds): void;
}

/** Lets requests in danger go where they come before lower tiers. */
export interface Displacement {
  /** Takes `tokens` of a neighbour's allowance, which fills by a share of `rate` tokens a millisecond. */
  tryTake(rate: number, tokens: number, now: Milliseconds): FailureDomainId | undefined;
  configure(neighbours: readonly NeighbourPool[], now: Milliseconds): void;
}

/** Keeps capacity that a refused request could have used from lower tiers. */
export interface RefusalBarrier {
  refused(tier: TierRank, until: Milliseconds): void;
  /** Until when requests of `tier` must wait because a higher tier was refused. */
  blockedUntil(tier: TierRank): Milliseconds;
}

/** Waits for the entry hosts' accounts of what is in flight. */
export interface Handover {
  isOver(now: Milliseconds): boolean;
  /** When time alone may end it; undefined when it is over. */
  endsAt(now: Milliseconds): Milliseconds | undefined;
  reported(from: EntryHostIncarnation): void;
  membersChanged(alive: readonly EntryHostIncarnation[]): void;
}

/** Expected lengths of answers and times that slots are held. */
export interface WorkEstimates {
  readonly meanHolding: Milliseconds | undefined;
  readonly meanCost: number;
  /** Mean memory reserved by a granted request. */
  readonly meanReserved: number;
  /** Share of prompt tokens in the cost. */
  readonly promptShare: number;
  /** Memory to set aside for a request. */
  reservedTokens(asked: GrantRequested): number;
  expectedOutputTokens(route: string, maximumOutputTokens: number): number;
  learnOutput(route: string, maximumOutputTokens: number, outputTokens: number): void;
  learnHolding(slot: InFlight, outputTokens: number, held: Milliseconds): void;
}

/** Tokens asked for of late, by tier. */
export interface Demand {
  /** Tokens a millisecond. */
  rateOf(tier: TierRank, now: Milliseconds): number;
  /** Tokens a millisecond of all tiers above `tier`. */
  rateAbove(tier: TierRank, now: Milliseconds): number;
  arrived(tier: TierRank, tokens: number, now: Milliseconds): void;
}

/** The fastest times of an idle backend server of the pool. */
export interface PoolSpeed {
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
  readonly deferred: DeferredRefusals;
  readonly ledger: ReturnType<typeof createLedger>;
  readonly servers: Map<BackendServerId, BackendServer>;
  readonly shares: VersionShares;
  readonly spill: SpillBudget;
  readonly displacement: Displacement;
  readonly barrier: RefusalBarrier;
  readonly handover: Handover;
  readonly work: WorkEstimates;
  readonly demand: Demand;
  /** Requests that ended lately, so that a late repetition is not served again. */
  readonly finished: Set<RequestId>;
  /** Incarnations declared dead. */
  readonly dead: Set<string>;
  /** Slots of dead incarnations by the time at which they are freed. */
  readonly orphans: Map<RequestId, Milliseconds>;
  effects: SchedulerEffect[];
  domainDrained: boolean;
  tiers: number;
  sequence: number;
  poolSpeed: PoolSpeed | undefined;
  poolSpeedAt: Milliseconds;
}

/** Expected course of a request at a backend server. */
export interface Expectation {
  readonly cachedTokens: number;
  readonly prefillTokens: number;
  readonly firstTokenAfter: Milliseconds;
  readonly finishAfter: Milliseconds;
}

/** The backend servers with room for a stream, and why the others have none. */
export interface Survey {
  readonly open: readonly BackendServer[];
  readonly closed: readonly RejectedAlternative[];
}

/** A backend server chosen for a request. */
export type Chosen = Extract<Choice, { readonly kind: 'chosen' }>;

/** Result of choosing a backend server for one request. */
export type Choice =
  | {
      readonly kind: 'chosen';
      readonly server: BackendServer;
      readonly expectation: Expectation;
      readonly rejected: readonly RejectedAlternative[];
    }
  /** `reserve` is the backend server that is to be kept free for the request. */
  | { readonly kind: 'none'; readonly reserve: BackendServer | undefined };
