/** Types of the fleet of order executors that tests and benchmarks drive in virtual time. */
import type { Clock, EntryHostId, Milliseconds, Random, VirtualClock } from '@rattanreel/core';
import type { ObjectStoreModel } from '@rattanreel/stand-in-platform';
import type { OrderDecision, OrderExecutor, OrderRequest, OrderResult } from '../types';

/** The clock of one process. Its timers are deferred while it is paused and never fire after it has ended. */
export interface ProcessClock extends Clock {
  pause(): void;
  resume(): void;
  end(): void;
  /** Delivers a result from outside the process: at once while it runs, after a pause when it resumes. */
  deliver<Value>(promise: Promise<Value>): Promise<Value>;
}

/** Injected faults of dispatches and of queries between hosts. */
export interface FleetFaults {
  /** Share of dispatches that are refused before any byte is written. */
  readonly refusedShare: number;
  /** Share of dispatches whose connection breaks, half of them after the order was booked. */
  readonly brokenShare: number;
  /** Share of queries to other hosts whose answer is lost. */
  readonly lostAnswerShare: number;
}

export interface FleetTimes {
  /** One-way latency between hosts. */
  readonly network: Milliseconds;
  /** Longest wait for a slot at the backend server. */
  readonly queue: Milliseconds;
  /** Longest service time of the backend server. */
  readonly service: Milliseconds;
  /** Time after which a host that is paused or ended is reported as gone. */
  readonly detectionTime: Milliseconds;
  /** Longest wait for the answer of another host. */
  readonly questionTimeout: Milliseconds;
}

export interface OrderFleetOptions {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly model: ObjectStoreModel;
  readonly hosts: readonly EntryHostId[];
  readonly faults?: Partial<FleetFaults>;
  readonly times?: Partial<FleetTimes>;
  readonly onDecision?: (host: EntryHostId, decision: OrderDecision) => void;
  /** Called when the first byte of an order is written. */
  readonly onDispatch?: (order: OrderRequest) => void;
}

export type SubmissionOutcome =
  | { readonly kind: 'result'; readonly result: OrderResult }
  /** The host's process ended before it answered. */
  | { readonly kind: 'connectionLost' };

/** Entry hosts with an order executor each, one store and one booking server. */
export interface OrderFleet {
  /** Submits an order to a host as a caller does. */
  submit(host: EntryHostId, order: OrderRequest): Promise<SubmissionOutcome>;
  getExecutor(host: EntryHostId): OrderExecutor;
  pause(host: EntryHostId): void;
  resume(host: EntryHostId): void;
  /** Ends the host's process; the host stays down until it is started. */
  end(host: EntryHostId): void;
  /** Starts a process with a new incarnation. */
  start(host: EntryHostId): void;
  isRunning(host: EntryHostId): boolean;
  /** How often the booking server has booked the order with this body. */
  getBookings(body: string): number;
}
