/** A pool at one host: its backend servers, its waiting requests, its budget for repeats. */
import type {
  BackendServerId,
  Clock,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  Random,
  TierRank,
} from '@rattanreel/core';
import type {
  AttemptOutcome,
  ListedServer,
  PoolSettings,
  RefusalReason,
  ServerState,
  Priority,
  QueuedRequest,
} from '../types';
import type { MovingAverage } from '../decisions/types';

/** What was measured of one attempt. */
export interface AttemptFigures {
  readonly end: AttemptOutcome;
  readonly duration: Milliseconds;
  readonly firstDataAfter: Milliseconds | undefined;
  /** Chunks of data after the first, and the time over which they came. */
  readonly laterChunks: number;
  readonly laterTime: Milliseconds;
  /** Tokens of the answer, at most or as its caller expected. */
  readonly outputTokens: number;
}

export type AdmissionDecision =
  { readonly kind: 'waiting' } | { readonly kind: 'refused'; readonly reason: RefusalReason };

/** State of a pool as this host sees it. */
export interface PoolState {
  readonly waiting: number;
  /** Places of usable servers, over all hosts, and those taken. */
  readonly places: number;
  readonly taken: number;
  readonly takenByTier: number;
  readonly expectedWait: Milliseconds;
}

export interface PoolQueue {
  /** Queues a request, or refuses it when it cannot be served in time. */
  enqueue(request: QueuedRequest): AdmissionDecision;
  cancel(request: QueuedRequest): void;
  /** Gives a granted place back that was not used. */
  releaseUnusedSlot(server: ServerState, tier: TierRank): void;
  /** Gives the place of an attempt back. */
  completeAttempt(server: ServerState, tier: TierRank, figures: AttemptFigures): void;
  /** Takes in the load that a server told with an answer. */
  recordLoadReport(server: ServerState, running: number, queued: number): void;
  trySpendRetry(): boolean;
  recordRequest(): void;
  /** When a request refused now may come back. */
  getRetryAfter(priority: Priority): Milliseconds;
  /** Takes in the other hosts' requests in flight, by server and by route tier, and those that wait, by rank. */
  setPeerLoad(
    inFlight: ReadonlyMap<BackendServerId, number>,
    byTier: ReadonlyMap<TierRank, number>,
    queuedByRank: ReadonlyMap<number, number>,
  ): void;
  /** This host's requests in flight, by route tier. */
  getOwnInFlightByTier(): ReadonlyMap<TierRank, number>;
  /** This host's requests that wait, by rank. */
  getQueuedByRank(): ReadonlyMap<number, number>;
  /** Takes in all hosts, and how many of them share the places that this one counts. */
  setHosts(hosts: readonly EntryHostId[], sharingHosts: number): void;
  /** Serves whoever can be served. */
  grantSlots(): void;
  readonly size: number;
  /** What a decision on a request of this urgency is made from. */
  getState(priority: Pick<Priority, 'rank' | 'tier'>): PoolState;
}

/** Means over a pool against which a server is compared. */
export interface PoolAverages {
  readonly chunkInterval: MovingAverage;
  readonly singleChunkDuration: MovingAverage;
  readonly timeToFirstData: MovingAverage;
  /** Time for each token that a caller asked for; 0 until answers with tokens have come. */
  readonly timePerToken: MovingAverage;
}

export interface ServerStateMap {
  readonly byId: ReadonlyMap<BackendServerId, ServerState>;
  /** Takes over the list of a pool's servers; what was learnt of a server stays while it lives. */
  replaceServers(servers: readonly ListedServer[], now: Milliseconds): void;
}

export interface SlotTrackerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly ownDomain: FailureDomainId;
  readonly serverStates: ServerStateMap;
  readonly getEvacuated: () => ReadonlySet<FailureDomainId>;
  /** Whether the other hosts' requests in flight are all heard of. */
  readonly hasFullPeerView: () => boolean;
  readonly getSettings: () => PoolSettings | undefined;
  /** Told when the requests in flight change, and whether places are scarce. */
  readonly onInFlightChange: (isScarce: boolean) => void;
  /** Whether a server is expected to end a request's answer within its deadline. */
  readonly canMeetDeadline: (server: ServerState, request: QueuedRequest) => boolean;
  /** Time between two requests of this host to a cold server. */
  readonly getColdRequestInterval: (server: BackendServerId, rate: number) => Milliseconds;
}
