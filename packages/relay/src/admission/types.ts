/**
 * Types of admission: how a request gets a slot at a backend server, from this host's own pools or
 * from the host that schedules its failure domain.
 */
import type {
  BackendServerId,
  CustomerId,
  EntryHostId,
  Milliseconds,
  PoolId,
  RequestId,
  TierRank,
} from '@rattanreel/core';
import type { PoolState } from '../pools/types';
import type {
  ClusterStateVersions,
  ListedServer,
  PeerAddress,
  QuotaFigures,
  Priority,
  RefusalReason,
  AttemptFigures,
  UsageReport,
} from '../types';
import type { FindingsReport } from '../findings/types';
import type { AgedServerLoad, ServerLoad } from '../speed/types';

/** What the scheduling host knew about a server when it granted a slot there. */
export interface ServerView {
  /** Requests in flight that the scheduling host has granted, and those of its peers. */
  readonly own: number;
  readonly others: number;
  readonly slowness: number;
  readonly failures: number;
  /** Multiple of the usual time that work took, when the server last said so; absent if never. */
  readonly slowdown?: number;
  readonly slowdownAge?: Milliseconds;
  /** Why a request that was expected to be late was let through; absent if it was not. */
  readonly override?: 'serveLate' | 'tryOut';
  /** Requests per second that the server takes from all hosts; undefined if it names no limit. */
  readonly limit?: number;
}

/** A slot at a backend server; ends with exactly one call of `release` or `complete`. */
export interface SlotGrant {
  readonly server: ListedServer;
  readonly view: ServerView;
  /** Returns the slot unused. */
  release(): void;
  /** Returns the slot after an attempt. */
  complete(figures: AttemptFigures): void;
  /** Records the load that the server reported with its response. */
  recordLoad(load: AgedServerLoad): void;
  /** Records that the server announced that it is leaving. */
  recordLeaving(): void;
}

export interface SlotRefusal {
  readonly reason: RefusalReason;
  /** Time after which the caller may return. */
  readonly retryAfter: Milliseconds;
  readonly pool?: PoolState;
  /** Present if the customer's quota is the reason. */
  readonly quota?: QuotaFigures;
}

/** A request for a slot at one of a pool's servers. */
export interface SlotRequest {
  readonly requestId: RequestId;
  readonly pool: PoolId;
  readonly customer: CustomerId | undefined;
  /** Cost to charge to the customer's quota; 0 if the request was charged before. */
  readonly cost: number;
  readonly priority: Priority;
  readonly outputTokens: number;
  /** Servers that this request must not be sent to; read when a slot is chosen. */
  readonly excludedServers: ReadonlySet<BackendServerId>;
  /** Whether the request can do without the slot: it is refused rather than queued. */
  readonly isSpeculative?: boolean;
  onGranted(grant: SlotGrant): void;
  /** The cost that this request was charged for has been refunded. */
  onRefused(refusal: SlotRefusal): void;
}

export interface Admission {
  /**
   * Asks for a slot. Calls back once, possibly before it returns, unless the request is cancelled.
   * Returns the function that cancels a request which has not been called back, and refunds it.
   */
  requestSlot(request: SlotRequest): () => void;
  /** Refunds the cost of a request that was granted a slot and has not run. */
  refund(customer: CustomerId, cost: number): void;
  /** Takes one retry from the pool's retry budget; false when the budget is exhausted. */
  trySpendRetry(pool: PoolId): boolean;
  /** Counts a caller's request, which earns a part of a retry. */
  recordRequest(pool: PoolId): void;
}

/** The slots of this host's own pools. */
export interface LocalAdmission extends Admission {
  /**
   * Takes over a slot that another host granted; undefined if the server is unknown. It counts as
   * this host's own until it is returned.
   */
  tryAdoptSlot(held: Omit<HeldSlot, 'ticket'>): SlotGrant | undefined;
}

/** Number by which a host identifies one of its requests for a slot; unique in its incarnation. */
export type Ticket = number;

/** A slot in use at a host. */
export interface HeldSlot {
  readonly ticket: Ticket;
  readonly pool: PoolId;
  readonly server: BackendServerId;
  readonly tier: TierRank;
  /** Undefined if the request has none, or its host does not report it. */
  readonly customer?: CustomerId | undefined;
}

/** Asks the scheduler for a slot. Repeated if the scheduler may not have received it. */
export interface SlotAsk extends Pick<
  SlotRequest,
  'requestId' | 'pool' | 'customer' | 'cost' | 'outputTokens' | 'isSpeculative'
> {
  readonly kind: 'ask';
  readonly ticket: Ticket;
  /** Clocks of two hosts are never compared, so times are sent as what is left of them. */
  readonly priority: Omit<Priority, 'serveBy' | 'serveLateBy' | 'deadlineAt'>;
  readonly serveWithin: Milliseconds;
  /** Absent if the request is refused when it cannot be served within `serveWithin`. */
  readonly serveLateWithin?: Milliseconds;
  readonly deadlineWithin: Milliseconds;
  readonly excludedServers: readonly BackendServerId[];
}

/** Withdraws a request for a slot. */
export interface SlotCancel {
  readonly kind: 'cancel';
  readonly ticket: Ticket;
}

/** Returns a slot; without figures if it was not used. */
export interface SlotReturn {
  readonly kind: 'return';
  readonly ticket: Ticket;
  readonly figures?: AttemptFigures;
  /** What the server reported with its response; absent if it reported nothing. */
  readonly load?: AgedServerLoad;
}

/** What a server reported with a response, sent while the request is still in flight. */
export interface ServerReport {
  readonly kind: 'serverReport';
  readonly ticket: Ticket;
  readonly load?: ServerLoad;
  readonly isLeaving?: boolean;
}

export interface SlotRefund {
  readonly kind: 'refund';
  readonly customer: CustomerId;
  readonly cost: number;
}

/** State of a host that uses a scheduler; lists all of its tickets that are open. */
export interface HostReport extends PeerAddress, ClusterStateVersions {
  readonly kind: 'report';
  readonly held: readonly HeldSlot[];
  readonly waiting: readonly Ticket[];
  /** Event loop delay of the host; absent if unknown. */
  readonly loopDelay?: Milliseconds;
  /** Usage that changed; absent where no usage is reported, or none is due. */
  readonly usage?: UsageReport;
}

/** Asks whether a host could be this host's scheduler; answered by a status. */
export interface SchedulerProbe {
  readonly kind: 'probe';
}

/** Ends the use of a scheduler; the host reports its slots to another one. */
export interface HostLeave {
  readonly kind: 'leave';
}

/** Messages of a host to its scheduler. */
export type SchedulerRequest =
  | SlotAsk
  | SlotCancel
  | SlotReturn
  | ServerReport
  | SlotRefund
  | HostReport
  | SchedulerProbe
  | HostLeave;

export interface SlotGranted {
  readonly kind: 'granted';
  readonly ticket: Ticket;
  readonly server: ListedServer;
  readonly view: ServerView;
}

export interface SlotRefused extends SlotRefusal {
  readonly kind: 'refused';
  readonly ticket: Ticket;
}

/** Acknowledges a request that waits for a slot. */
export interface SlotQueued {
  readonly kind: 'queued';
  readonly ticket: Ticket;
}

/** Says that the scheduler does not know a ticket that was reported as waiting. */
export interface SlotUnknown {
  readonly kind: 'unknown';
  readonly ticket: Ticket;
}

/** State of a scheduler, in response to each report and after each change. */
export interface SchedulerStatus extends PeerAddress, ClusterStateVersions {
  readonly kind: 'status';
  /** Whether it knows a configuration and the backend servers. */
  readonly isServing: boolean;
  readonly isStopping: boolean;
  readonly isStoreReachable: boolean;
  /** Number of hosts in the fleet, as far as known. */
  readonly fleetHosts: number;
  /** Event loop delay of the scheduler; absent if unknown. */
  readonly loopDelay?: Milliseconds;
  /** Time by which the windows of usage advance there; absent where no usage is reported. */
  readonly windowTime?: number;
}

/** Messages of a scheduler to a host. */
export type SchedulerResponse =
  SlotGranted | SlotRefused | SlotQueued | SlotUnknown | SchedulerStatus;

/** Sends a message to one host; it may be lost. */
export type Respond = (message: SchedulerResponse | FindingsReport) => void;

/** Identity of the sender of a message. */
export interface Sender {
  readonly entryHost: EntryHostId;
  readonly incarnation: string;
}

/** A host whose requests this one schedules, with its tickets. */
export interface ServedHost {
  readonly entryHost: EntryHostId;
  readonly incarnation: string;
  respond: Respond;
  heardAt: Milliseconds;
  countTickets(): number;
  /** Admits a request; repeats the response if the ticket is known. */
  ask(message: SlotAsk): void;
  /** Ends a ticket: returns its slot, or cancels its request. */
  returnSlot(message: Omit<SlotReturn, 'kind'>): void;
  recordServerReport(message: ServerReport): void;
  /** Corrects the tickets by a report of the host, which is authoritative. */
  reconcile(report: HostReport): void;
  /** Ends all tickets. */
  releaseAll(): void;
}

/** Which host schedules the requests of this one. */
export type SchedulerChoice =
  /** This host itself: the fleet is small, or no better candidate responds. */
  | { readonly kind: 'self' }
  /** A candidate that has not responded yet. */
  | { readonly kind: 'pending'; readonly host: PeerAddress; readonly since: Milliseconds }
  | { readonly kind: 'remote'; readonly host: PeerAddress };

export interface SchedulerSelector {
  getChoice(): SchedulerChoice;
  /** Returns the host that schedules this one, or is to; undefined if this host does. */
  tryGetScheduler(): PeerAddress | undefined;
  /** Sets the candidates in their order of preference; this host is one of them. */
  setCandidates(candidates: readonly PeerAddress[]): void;
  /** Records that a message of a host arrived. */
  recordHeard(host: EntryHostId): void;
  handleStatus(status: SchedulerStatus): void;
  /** Records that a message which the scheduler answers at once was sent to it. */
  expectResponse(): void;
  stop(): void;
}
