/** Types of the HTTP stand-in for a plain service: an order book with an inventory. */
import type { Clock, Milliseconds, VersionId } from '@rattanreel/core';

/** What goes wrong with a call; the effect says whether the order is booked. */
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
  /** Port to listen on; 0 takes a free one. */
  readonly port?: number;
  /** Time that a call takes. */
  readonly serviceMilliseconds?: Milliseconds;
  /** Calls that run at once; later ones wait. */
  readonly maximumCalls?: number;
  readonly reportLag?: Milliseconds;
}

/** How often one thing was executed. */
export interface ExecutionCount {
  readonly name: string;
  readonly executions: number;
}

export interface ServiceAudit {
  /** By order reference. */
  readonly bookings: readonly ExecutionCount[];
  /** By `x-request-id`. */
  readonly requests: readonly ExecutionCount[];
}

export interface ServiceStandIn {
  readonly id: string;
  readonly address: string;
  getAudit(): ServiceAudit;
  /** The next calls meet these faults, one each, in their order. */
  injectFaults(faults: readonly ServiceFault[]): void;
  stallOpenConnections(): void;
  setLeaving(leaving?: boolean): void;
  close(): Promise<void>;
}
