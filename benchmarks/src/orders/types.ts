/** Types of the orders benchmark. */
import type { Milliseconds } from '@rattanreel/core';
import type { OrderFleet, SubmissionOutcome } from '@rattanreel/orders/testing';

/** Whether the store has outages during a run. */
export type StoreScenario = 'well' | 'outages';

export interface SimulationOptions {
  readonly seed: number;
  readonly orders: number;
  readonly ordersPerSecond: number;
  readonly store: StoreScenario;
  /** Mean time between ends of hosts' processes; undefined for none. */
  readonly endInterval?: Milliseconds;
  /** Mean time between pauses of hosts' processes; undefined for none. */
  readonly pauseInterval?: Milliseconds;
}

export type KeyKind = 'none' | 'ticket' | 'callerKey';

/** Outcome of an order that its caller knows when it stops submitting. */
export type KnownOutcome = 'answered' | 'refused' | 'mayHaveRun';

/** One submission of an order to one host. */
export interface Submission {
  readonly host: string;
  readonly at: Milliseconds;
  answeredAt: Milliseconds | undefined;
  outcome: SubmissionOutcome | undefined;
}

/** Submissions and dispatches of one order. */
export interface OrderHistory {
  readonly body: string;
  readonly keyKind: KeyKind;
  /** Whether the store was in an outage when the order was first submitted. */
  readonly wasStoreDown: boolean;
  readonly submissions: Submission[];
  /** Times at which the first byte of a dispatch was written. */
  readonly dispatchedAt: Milliseconds[];
  knownOutcome: KnownOutcome | undefined;
}

export interface Caller {
  readonly fleet: OrderFleet;
  readonly history: OrderHistory;
}

/** Counts over a set of orders. */
export interface OrderTally {
  readonly orders: number;
  readonly retriedShare: number;
  readonly bookedTwice: number;
  readonly falseNotRun: number;
  readonly lost: number;
  readonly differingAnswers: number;
  readonly answeredShare: number;
  readonly refusedShare: number;
  readonly mayHaveRunShare: number;
  /** Share of the submissions that were answered "not run". */
  readonly submissionsRefusedShare: number;
  readonly firstDispatchMilliseconds: { readonly p50: number; readonly p99: number };
}

export interface SimulationResult {
  readonly histories: readonly OrderHistory[];
  readonly getBookings: (body: string) => number;
  readonly storeWrites: number;
  readonly ends: number;
  readonly pauses: number;
  readonly virtualSeconds: number;
}
