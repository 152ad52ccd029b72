/** Types of the fleet of order desks that tests and benchmarks drive in virtual time. */
import type { Clock, EntryHostId, Milliseconds, Random, VirtualClock } from '@rattanreel/core';
import type { ObjectStoreModel } from '@rattanreel/stand-in-platform';
import type { OrderDecision, OrderExecutor, OrderRequest, OrderResult } from '../types';

/** The clock of one process, whose timers stop while it is paused and for good when it ends. */
export interface ProcessClock extends Clock {
  pause(): void;
  resume(): void;
  end(): void;
  /** Delivers a result from outside the process, when the process can take it. */
  deliver<Value>(promise: Promise<Value>): Promise<Value>;
}

/** How dispatches and questions between hosts go wrong. */
export interface FleetFaults {
  /** Share of dispatches that are refused before any byte is written. */
  readonly refusedShare: number;
  /** Share of dispatches whose connection breaks, half of them after the order was booked. */
  readonly brokenShare: number;
  /** Share of questions to other hosts whose answer is lost. */
  readonly lostAnswerShare: number;
}

export interface FleetTimes {
  /** One way between hosts. */
  readonly network: Milliseconds;
  /** Longest wait for a slot at the backend server. */
  readonly queue: Milliseconds;
  /** Longest service time of the backend server. */
  readonly service: Milliseconds;
  /** Time after which a host that is paused or ended counts as gone. */
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

/** Entry hosts with an order desk each, one store and one order book. */
export interface OrderFleet {
  /** Submits an order at a host as a caller does. */
  submit(host: EntryHostId, order: OrderRequest): Promise<SubmissionOutcome>;
  getExecutor(host: EntryHostId): OrderExecutor;
  pause(host: EntryHostId): void;
  resume(host: EntryHostId): void;
  /** Ends the host's process; the host stays away until started. */
  end(host: EntryHostId): void;
  /** Starts a process with a new incarnation. */
  start(host: EntryHostId): void;
  isRunning(host: EntryHostId): boolean;
  /** How often the order book has booked an order, by its body. */
  getBookings(body: string): number;
}
