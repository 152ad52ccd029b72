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
  AttemptEnd,
  ListedServer,
  PoolSettings,
  RefusalReason,
  ServerAccount,
  Urgency,
  WaitingRequest,
} from '../types';
import type { MovingMean } from '../decisions/types';

/** What was measured of one attempt. */
export interface AttemptFigures {
  readonly end: AttemptEnd;
  readonly duration: Milliseconds;
  readonly firstDataAfter: Milliseconds | undefined;
  /** Chunks of data after the first, and the time over which they came. */
  readonly laterChunks: number;
  readonly laterTime: Milliseconds;
  /** Tokens of the answer, at most or as its caller expected. */
  readonly outputTokens: number;
}

export type Admission =
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

export interface PoolDesk {
  /** Queues a request, or refuses it when it cannot be served in time. */
  ask(request: WaitingRequest): Admission;
  withdraw(request: WaitingRequest): void;
  /** Gives a granted place back that was not used. */
  withdrawGranted(server: ServerAccount, tier: TierRank): void;
  /** Gives the place of an attempt back. */
  noteEnded(server: ServerAccount, tier: TierRank, figures: AttemptFigures): void;
  /** Takes in the load that a server told with an answer. */
  noteLoad(server: ServerAccount, running: number, waiting: number): void;
  tryRepeat(): boolean;
  noteRequest(): void;
  /** When a request refused now may come back. */
  getRetryAfter(urgency: Urgency): Milliseconds;
  /** Takes in the other hosts' requests in flight, by server and by route tier, and those that wait, by rank. */
  setOthers(
    inFlight: ReadonlyMap<BackendServerId, number>,
    byTier: ReadonlyMap<TierRank, number>,
    waiting: ReadonlyMap<number, number>,
  ): void;
  /** This host's requests in flight, by route tier. */
  getOwnByTier(): ReadonlyMap<TierRank, number>;
  /** This host's requests that wait, by rank. */
  getWaitingByRank(): ReadonlyMap<number, number>;
  /** Takes in all hosts, and how many of them share the places that this one counts. */
  setHosts(hosts: readonly EntryHostId[], sharers: number): void;
  /** Serves whoever can be served. */
  pump(): void;
  readonly waiting: number;
  /** What a decision on a request of this urgency is made from. */
  describe(urgency: Pick<Urgency, 'rank' | 'tier'>): PoolState;
}

/** Means over a pool against which a server is compared. */
export interface PoolMeans {
  readonly chunkGap: MovingMean;
  readonly wholeTime: MovingMean;
  readonly firstData: MovingMean;
  /** Time for each token that a caller asked for; 0 until answers with tokens have come. */
  readonly tokenTime: MovingMean;
}

export interface ServerAccounts {
  readonly byId: ReadonlyMap<BackendServerId, ServerAccount>;
  /** Takes over the list of a pool's servers; what was learnt of a server stays while it lives. */
  replace(servers: readonly ListedServer[], now: Milliseconds): void;
}

export interface PlaceLedgerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly ownDomain: FailureDomainId;
  readonly accounts: ServerAccounts;
  readonly getEvacuated: () => ReadonlySet<FailureDomainId>;
  /** Whether the other hosts' requests in flight are all heard of. */
  readonly hearsAll: () => boolean;
  readonly getSettings: () => PoolSettings | undefined;
  /** Told when the requests in flight change, and whether places are scarce. */
  readonly onChange: (isScarce: boolean) => void;
  /** Whether a server is expected to end a request's answer within its deadline. */
  readonly endsInTime: (account: ServerAccount, request: WaitingRequest) => boolean;
  /** Time between two requests of this host to a cold server. */
  readonly getColdInterval: (server: BackendServerId, rate: number) => Milliseconds;
}
