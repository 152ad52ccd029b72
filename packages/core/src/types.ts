/** Types that every library of the workspace shares. */

/** A span or a monotonic instant in milliseconds. Instants of two processes are never compared. */
export type Milliseconds = number;

/** Position of a tier in the order of importance: 0 is the most important. */
export type TierRank = number;

/** The result of a call that can fail in a foreseen way. */
export type Outcome<Value, Failure> =
  | { readonly kind: 'ok'; readonly value: Value }
  | { readonly kind: 'error'; readonly error: Failure };

/** A scheduled callback that can be taken back. */
export interface Timer {
  /** Stops the callback from running; does nothing when it has run already. */
  cancel(): void;
}

/** Source of time and timers, so that tests run on virtual time. */
export interface Clock {
  /** Monotonic time of this process. */
  now(): Milliseconds;
  /** Wall time, for log lines and records only, never for a decision. */
  wallTime(): Date;
  /** Runs `callback` once, `delay` from now. */
  after(delay: Milliseconds, callback: () => void): Timer;
}

/** A clock that moves only when a test says so. */
export interface VirtualClock extends Clock {
  /** Moves time forward and runs every timer that falls due, in order. */
  advance(span: Milliseconds): void;
  /** Runs the next timer, if one is set; false when none is left. */
  runNext(): boolean;
}

/** Seeded random numbers. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** A whole number from `low` to `high`, both included. */
  integer(low: number, high: number): number;
  /** A random identifier of 128 bits in hexadecimal. */
  identifier(): string;
}

/** An invariant that did not hold. */
export interface InvariantViolation {
  readonly kind: 'invariantViolation';
  readonly code: string;
  readonly message: string;
}

/** What happens when an invariant does not hold: fatal in tests, counted and logged in service. */
export type InvariantReporter = (violation: InvariantViolation) => void;

/** A queue that gives the smallest element first. */
export interface PriorityQueue<Element> {
  readonly size: number;
  push(element: Element): void;
  /** Removes and returns the smallest element. */
  pop(): Element | undefined;
  /** The smallest element, left in place. */
  peek(): Element | undefined;
}

/** Name of a customer. */
export type CustomerId = string;
/** Name of a failure domain. */
export type FailureDomainId = string;
/** Name of an entry host: one machine of this system. */
export type EntryHostId = string;
/** One run of an entry host's process; a restart has a new one. */
export type Incarnation = string;
/** Name of a back end: a model engine or a plain service instance. */
export type BackendServerId = string;
/** Name of a group of backend servers that serve the same model or service. */
export type PoolId = string;
/** Name of a version of a model or service. */
export type VersionId = string;
/** Identifier of one request, unique over all entry hosts. */
export type RequestId = string;
/** A number that only grows: a configuration's generation or a lease's fencing number. */
export type Generation = number;
