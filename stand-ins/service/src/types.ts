/** Types of the HTTP stand-in for a plain service, which books orders and reports stock. */
import type { Clock, Milliseconds, VersionId } from '@rattanreel/core';

/**
 * Fault of one call. `answerLost`, `answerLate` and `resetAfter` execute the call; `resetBefore`
 * and `failure` do not.
 */
export type ServiceFault =
  | { readonly kind: 'answerLost' }
  | { readonly kind: 'answerLate'; readonly delay: Milliseconds }
  | { readonly kind: 'resetBefore' }
  | { readonly kind: 'resetAfter' }
  | { readonly kind: 'failure'; readonly status: 500 | 502 | 503 };

export interface ServiceStandInOptions {
  readonly id: string;
  readonly version?: VersionId;
  readonly clock?: Clock;
  readonly host?: string;
  /** Port to listen on; 0 selects a free one. */
  readonly port?: number;
  /** Time to serve a call. */
  readonly serviceMilliseconds?: Milliseconds;
  /** Maximum number of concurrent calls; further ones wait. */
  readonly maximumCalls?: number;
  readonly reportLag?: Milliseconds;
}

/** Number of executions of one order or request. */
export interface ExecutionCount {
  readonly name: string;
  readonly executions: number;
}

export interface ServiceAudit {
  /** Bookings by order reference. */
  readonly bookings: readonly ExecutionCount[];
  /** Executed calls by `x-request-id`. */
  readonly requests: readonly ExecutionCount[];
}

export interface ServiceStandIn {
  readonly id: string;
  readonly address: string;
  getAudit(): ServiceAudit;
  /** Applies these faults to the next calls, one each, in order. */
  injectFaults(faults: readonly ServiceFault[]): void;
  stallOpenConnections(): void;
  setLeaving(leaving?: boolean): void;
  close(): Promise<void>;
}
