/** Types of a caller's request and of the response to it. */
import type {
  IntakeEnd,
  ListenContext,
  ListenEndpoint,
  ListenError,
  ListeningAddress,
  ListenOperation,
} from '@rattanreel/connections';
import type { ErrorOrigin, Gauge as GaugeDefinition } from '@rattanreel/observability';
import type { BackendServerId, Clock, Milliseconds, Outcome, PoolId } from '@rattanreel/core';
import type {
  QuotaFigures,
  ClusterStateVersions,
  ContentId,
  HeaderNames,
  PromptPartId,
  RefusalReason,
  RelayCustomer,
  Route,
  Priority,
  TraitId,
  AttemptFigures,
} from '../types';
import type { Admission, ServerView } from '../admission/types';
import type { ServerEmbargo } from '../decisions/types';
import type { PoolState } from '../pools/types';
import type { TimeCheck } from '../lateness/types';
import type { BrittlePools, ServerLimits } from '../limits/types';
import type { CrashGuard } from '../crashes/types';
import type { HedgeResult, HedgeSkipReason, Hedging } from '../hedging/types';
import type { ResponseHead, ServerConnections } from '../servers/types';

/** A caller's request with its complete body, and the operations that respond to it. */
export interface CallerExchange {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  /** Header names and values, alternating, unchanged. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Earliest time at which the request may have arrived. */
  readonly arrivedAt: Milliseconds;
  /** When its arrival was handled; `arrivedAt` if absent. */
  readonly handledAt?: Milliseconds;
  /**
   * Sends the status line and the headers. With `isDelimitedByClose` the response ends with the
   * close of its connection, as it did at the backend server: a content length or a last chunk
   * added here would mark as complete a response whose end has not been seen.
   */
  sendHead(status: number, headers: readonly string[], isDelimitedByClose?: boolean): void;
  /** Returns false when the caller reads more slowly than the backend server sends. */
  sendData(chunk: Buffer): boolean;
  /** Reserves memory for `bytes` of a response in all; returns false if there is none. */
  tryBuffer(bytes: number): boolean;
  finish(): void;
  /** Closes the connection so that the response cannot look complete. */
  abort(): void;
  /** Registers a listener, called once if the caller disconnects before the response ends. */
  onDisconnect(listener: () => void): void;
  /** Registers a listener that is called each time the caller can accept more data. */
  onDrain(listener: () => void): void;
}

/** What is known about a request before it is admitted. */
export interface RequestPlan {
  readonly requestId: string;
  readonly route: Route;
  readonly customer: RelayCustomer | undefined;
  readonly priority: Priority;
  readonly cost: number;
  readonly promptTokens: number;
  /**
   * Parts of the prompt that other requests may share, in order: all but the last, which belongs to
   * the request or its session.
   */
  readonly promptParts: readonly PromptPartId[];
  readonly contentId: ContentId;
  /** Parts of the prompt and the content, each of which may be why servers end. */
  readonly traits: readonly TraitId[];
  readonly outputTokens: number;
  readonly arrivedAt: Milliseconds;
  /** The caller's deadline or the route's timeout, whichever comes first. */
  readonly deadlineAt: Milliseconds;
  /** Time by which that has certainly passed; an event loop that runs late estimates an earlier one. */
  readonly latestDeadlineAt: Milliseconds;
}

/** The response to a request that is rejected without a backend server. */
export interface Rejection {
  readonly status: 400 | 401 | 404 | 408 | 413 | 429 | 503;
  readonly code: string;
  readonly retryAfter?: Milliseconds;
}

export type PlanResult =
  | { readonly kind: 'ok'; readonly plan: RequestPlan }
  | { readonly kind: 'rejected'; readonly rejection: Rejection };

/** The state that a decision is based on: its versions and the age of the peers' reports. */
export interface DecisionBasis extends ClusterStateVersions {
  /** Number of reachable peers, and the age of the oldest of their last messages. */
  readonly hosts: number;
  readonly oldest: Milliseconds;
}

/** Why a request that was sent has no whole response. */
export type BreakReason = 'timeout' | 'serverBroke' | 'quarantined' | 'stopping';

export interface RequestObserver {
  rejected(requestId: string, rejection: Rejection): void;
  refused(
    plan: RequestPlan,
    reason: RefusalReason,
    retryAfter: number,
    figures?: Pick<Refusal, 'pool' | 'quota'>,
  ): void;
  dispatched(plan: RequestPlan, server: BackendServerId, view: ServerView, attempt: number): void;
  /** A second copy is sent, since the first one has been silent for `delay`. */
  hedged(plan: RequestPlan, server: BackendServerId, delay: Milliseconds): void;
  hedgeSkipped(plan: RequestPlan, reason: HedgeSkipReason, delay: Milliseconds): void;
  attemptEnded(plan: RequestPlan, server: BackendServerId, figures: AttemptFigures): void;
  completed(plan: RequestPlan, server: BackendServerId, figures: AttemptFigures): void;
  failed(plan: RequestPlan, status: number, code: string): void;
  brokenOff(plan: RequestPlan, reason: BreakReason): void;
  callerGone(plan: RequestPlan): void;
}

/** Forwards one response to the caller; successive attempts may supply it. */
export interface ResponseRelay {
  /** Whether any part of the response has been sent to the caller. */
  isCommitted(): boolean;
  /** Whether another server can continue the part of the response that has been sent. */
  canResume(): boolean;
  /** Identifier of the last complete event forwarded; undefined when nothing is to be resumed. */
  getLastEventId(): string | undefined;
  onHead(head: ResponseHead): void;
  /** Returns false when the caller reads too slowly for the data that arrives. */
  onData(chunk: Buffer): boolean;
  /** Ends the response as complete. */
  finish(): void;
}

export type RequestOutcome =
  'answered' | 'refused' | 'rejected' | 'failed' | 'brokenOff' | 'callerGone';

/** When a request arrived with respect to the signal that stops its host. */
export type StopArrival = 'beforeSignal' | 'afterSignal';

export interface RelayMetrics {
  countRequest(outcome: RequestOutcome, reason: string): void;
  countAttempt(attempt: number): void;
  /** Counts an attempt that was stopped before its first byte was written. */
  countUnsent(reason: string): void;
  /** Counts a request, sent to a server, that the end of the grace period has ended. */
  countEndedByStop(arrival: StopArrival): void;
  /** Counts a connection or an incomplete request that a limit has ended. */
  countIntakeEnd(limit: IntakeEnd): void;
  /** Counts a refusal on an estimate that no recent sample supports. */
  countStaleRefusal(): void;
  observeDuration(plan: RequestPlan, now: number): void;
  addGauge(gauge: GaugeDefinition): void;
  countError(origin: ErrorOrigin): void;
  countListenFailure(endpoint: ListenEndpoint, operation: ListenOperation): void;
  countHedge(result: HedgeResult): void;
  observeHedgeDelay(delay: Milliseconds): void;
  scrape(): Promise<string>;
}

/** Why a request is refused, and what the refusal is based on. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Time after which the caller may return; a part of its remaining time if undefined. */
  readonly retryAfter?: Milliseconds;
  readonly pool?: PoolState;
  /** Present if the customer's quota is the reason. */
  readonly quota?: QuotaFigures;
}

/** A planned request and what relaying it needs. */
export interface RelayRequestOptions {
  readonly clock: Clock;
  readonly exchange: CallerExchange;
  readonly plan: RequestPlan;
  readonly pool: PoolId;
  readonly admission: Admission;
  readonly embargo: ServerEmbargo;
  readonly crashGuard: CrashGuard;
  readonly serverLimits: Pick<ServerLimits, 'record'>;
  readonly brittlePools: Pick<BrittlePools, 'record'>;
  readonly connections: ServerConnections;
  readonly hedging: Hedging;
  readonly timeCheck: TimeCheck;
  readonly names: HeaderNames;
  readonly observer: RequestObserver;
  /** Called when the request begins to run; all calls but the first have no effect. */
  readonly onBegun: () => void;
  /** Refuses the request and reports that it has not run. */
  readonly refuse: (refusal: Refusal) => void;
  /** Responds that the request failed and may have run. */
  readonly sendFailure: (status: 502 | 504, code: string) => void;
}

/** The HTTP endpoint for callers. */
export interface CallerEndpoint {
  /** Listens on HOST:PORT; waits until the address is available. */
  listen(
    address: string,
    listening?: ListenContext,
  ): Promise<Outcome<ListeningAddress, ListenError>>;
  /** Applies changed limits to new connections. */
  applyLimits(): void;
  /** Makes each further response close its connection. */
  startDraining(): void;
  /** Stops accepting connections and closes idle ones. */
  stopAccepting(): void;
  /** Returns the number of requests whose response has not been sent. */
  countActive(): number;
  /** Returns the number of whole responses that were sent since the drain began. */
  countAnswered(): number;
  /** Refuses the requests of which the body is still arriving. */
  refuseArriving(): void;
  /** Closes all connections; what has not been sent cannot look complete. */
  close(): void;
}
