/** Types shared by all packages of the workspace. */

/** A duration or a monotonic time in milliseconds. Times of two processes are never compared. */
export type Milliseconds = number;

/** Position of a tier in the order of importance: 0 is the most important. */
export type TierRank = number;

/** The result of a call that can fail with an expected error. */
export type Outcome<Value, Failure> =
  | { readonly kind: 'ok'; readonly value: Value }
  | { readonly kind: 'error'; readonly error: Failure };

/** A scheduled callback that can be cancelled. */
export interface Timer {
  /** Cancels the callback; has no effect when it has run already. */
  cancel(): void;
}

/** Source of time and timers, so that tests run on virtual time. */
export interface Clock {
  /** Returns the monotonic time of this process. */
  now(): Milliseconds;
  /** Returns the wall time, for logs and records only, never for a decision. */
  wallTime(): Date;
  /** Calls `callback` once, after `delay`. */
  after(delay: Milliseconds, callback: () => void): Timer;
}

/** A clock whose time changes only on request, for tests and benchmarks. */
export interface VirtualClock extends Clock {
  /** Advances the time by `span` and runs every timer that becomes due, in order. */
  advance(span: Milliseconds): void;
  /** Advances the time to the next timer and runs it; false when none is set. */
  runNext(): boolean;
}

/** Source of random numbers. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer from `low` to `high`, both inclusive. */
  integer(low: number, high: number): number;
  /** Returns a random 128-bit identifier in hexadecimal. */
  identifier(): string;
}

/** A violation of an invariant. */
export interface InvariantViolation {
  readonly kind: 'invariantViolation';
  readonly code: string;
  readonly message: string;
}

/** Handles a violation of an invariant: throws by default, logs once `servePlatform` has run. */
export type InvariantReporter = (violation: InvariantViolation) => void;

/** A queue that returns the smallest element first. */
export interface PriorityQueue<Element> {
  readonly size: number;
  push(element: Element): void;
  /** Removes and returns the smallest element; undefined when the queue is empty. */
  pop(): Element | undefined;
  /** Returns the smallest element without removing it; undefined when the queue is empty. */
  peek(): Element | undefined;
}

/** Name of a customer. */
export type CustomerId = string;
/** Name of a failure domain. */
export type FailureDomainId = string;
/** Name of an entry host: one machine of this system. */
export type EntryHostId = string;
/** Identifier of one run of an entry host's process; a restart has a new one. */
export type Incarnation = string;
/** Name of a backend server: a model engine or an instance of a plain service. */
export type BackendServerId = string;
/** Name of a group of backend servers that serve the same model or service. */
export type PoolId = string;
/** Name of a version of a model or service. */
export type VersionId = string;
/** Identifier of one request, unique over all entry hosts. */
export type RequestId = string;
/** A number that only increases: a configuration's generation or a lease's fencing token. */
export type Generation = number;

/** Result of parsing a `host:port` address. */
export type ParsedAddress =
  | { readonly kind: 'address'; readonly host: string; readonly port: number }
  | { readonly kind: 'invalidAddress' }
  | { readonly kind: 'invalidPort' };
