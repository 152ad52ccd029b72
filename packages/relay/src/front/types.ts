/** One caller's request and its answer, as the relay sees them. */
import type { Gauge as GaugeDefinition } from '@rattanreel/observability';
import type { Clock, Milliseconds } from '@rattanreel/core';
import type {
  AttemptOutcome,
  ClusterStateVersions,
  HeaderNames,
  RefusalReason,
  RelayCustomer,
  Route,
  ServerState,
  Priority,
} from '../types';
import type { AttemptFigures, PoolQueue, PoolState } from '../pools/types';
import type { ResponseHead, ServerConnections } from '../servers/types';

/** A caller's request whose body is in, and the way to answer it. */
export interface CallerExchange {
  readonly method: string;
  /** Path and query as they came. */
  readonly target: string;
  /** Names and values by turns, as they came. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly arrivedAt: Milliseconds;
  /**
   * An answer whose end only its connection told is passed on in the same way: a length or a last
   * chunk of this system's own would vouch for an end that it has not seen.
   */
  sendHead(status: number, headers: readonly string[], isDelimitedByClose?: boolean): void;
  /** Returns false when the caller reads more slowly than the server answers. */
  sendData(chunk: Buffer): boolean;
  finish(): void;
  /** Closes the connection so that the answer cannot look complete. */
  abort(): void;
  /** Called once when the caller leaves before the answer's end. */
  onDisconnect(listener: () => void): void;
  /** Called each time that the caller can take more. */
  onDrain(listener: () => void): void;
}

/** What is known of a request before it is admitted. */
export interface RequestPlan {
  readonly requestId: string;
  readonly route: Route;
  readonly customer: RelayCustomer | undefined;
  readonly priority: Priority;
  readonly cost: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly arrivedAt: Milliseconds;
  /** The caller's deadline or the route's time-out, whichever comes first. */
  readonly deadlineAt: Milliseconds;
}

/** A request that is answered without a backend server. */
export interface Rejection {
  readonly status: 400 | 401 | 404 | 413 | 429 | 503;
  readonly code: string;
  readonly retryAfter?: Milliseconds;
}

export type PlanResult =
  | { readonly kind: 'ok'; readonly plan: RequestPlan }
  | { readonly kind: 'rejected'; readonly rejection: Rejection };

/** What a decision rests on: how new what this host knows is. */
export interface DecisionBasis extends ClusterStateVersions {
  /** Other hosts heard lately, and the age of the oldest of their last words. */
  readonly hosts: number;
  readonly oldest: Milliseconds;
}

export interface RequestObserver {
  rejected(requestId: string, rejection: Rejection): void;
  refused(
    plan: RequestPlan,
    reason: RefusalReason,
    retryAfter: number,
    poolState?: PoolState,
  ): void;
  dispatched(plan: RequestPlan, server: ServerState, attempt: number, queuedRequests: number): void;
  attemptEnded(plan: RequestPlan, server: ServerState, end: AttemptOutcome): void;
  completed(plan: RequestPlan, server: ServerState, figures: AttemptFigures): void;
  failed(plan: RequestPlan, status: number, code: string): void;
  brokenOff(plan: RequestPlan, reason: 'timeout' | 'serverBroke'): void;
  callerGone(plan: RequestPlan): void;
}

/** Passes one answer on; the attempts that bring it may change. */
export interface ResponseRelay {
  /** Whether the caller has been sent any of it. */
  isCommitted(): boolean;
  /** Identifier of the last whole event passed on; undefined when nothing is to be resumed. */
  getLastEventId(): string | undefined;
  onHead(head: ResponseHead): void;
  /** Returns false when the caller reads too slowly. */
  onData(chunk: Buffer): boolean;
  /** Ends the answer as complete. */
  finish(): void;
}

export type RequestOutcome =
  'answered' | 'refused' | 'rejected' | 'failed' | 'brokenOff' | 'callerGone';

export interface RelayMetrics {
  countRequest(outcome: RequestOutcome, reason: string): void;
  countAttempt(attempt: number): void;
  observeDuration(plan: RequestPlan, now: number): void;
  addGauge(gauge: GaugeDefinition): void;
  scrape(): Promise<string>;
}

/** An admitted request and what it needs. */
export interface RelayRequestOptions {
  readonly clock: Clock;
  readonly exchange: CallerExchange;
  readonly plan: RequestPlan;
  readonly queue: PoolQueue;
  readonly connections: ServerConnections;
  readonly names: HeaderNames;
  readonly observer: RequestObserver;
  /** Refuses the request with the truth that it has not run. */
  readonly refuse: (reason: RefusalReason) => void;
  /** Answers that the request failed and may have run. */
  readonly sendFailure: (status: 502 | 504, code: string) => void;
}

/** The listener for callers. */
export interface CallerEndpoint {
  listen(address: string): Promise<void>;
  /** Takes over changed limits for connections to come. */
  applyLimits(): void;
  /** From now on each answer closes its connection. */
  startDraining(): void;
  /** Accepts no connection any more and closes those that are idle. */
  stopAccepting(): void;
  /** Requests that have not been answered. */
  countActive(): number;
  close(): void;
}
