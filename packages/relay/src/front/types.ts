/** One caller's request and its answer, as the relay sees them. */
import type { Milliseconds } from '@rattanreel/core';
import type { RelayCustomer, Route, Urgency } from '../types';

/** A caller's request whose body is in, and the way to answer it. */
export interface CallerExchange {
  readonly method: string;
  /** Path and query as they came. */
  readonly target: string;
  /** Names and values by turns, as they came. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  readonly arrivedAt: Milliseconds;
  /** Whether the caller has gone or the answer is over. */
  isOver(): boolean;
  sendHead(status: number, headers: readonly string[]): void;
  /** Returns false when the caller reads more slowly than the server answers. */
  sendData(chunk: Buffer): boolean;
  finish(): void;
  /** Closes the connection so that the answer cannot look complete. */
  breakOff(): void;
  /** Called once when the caller leaves before the answer's end. */
  onGone(listener: () => void): void;
  /** Called each time that the caller can take more. */
  onDrain(listener: () => void): void;
}

/** What is known of a request before it is admitted. */
export interface RequestPlan {
  readonly requestId: string;
  readonly route: Route;
  readonly customer: RelayCustomer | undefined;
  readonly urgency: Urgency;
  readonly cost: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly arrivedAt: Milliseconds;
  /** The caller's deadline or the route's time-out, whichever comes first. */
  readonly endAt: Milliseconds;
}

/** A request that is answered without a backend server. */
export interface Rejection {
  readonly status: 400 | 401 | 404 | 413 | 429 | 503;
  readonly code: string;
  readonly retryAfter?: Milliseconds;
}

export type Planned =
  | { readonly kind: 'ok'; readonly plan: RequestPlan }
  | { readonly kind: 'rejected'; readonly rejection: Rejection };
