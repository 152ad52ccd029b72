/** Types of the bounds on what callers make a process hold and do. */
import type { IncomingMessage, RequestListener, Server } from 'node:http';
import type { Clock, Milliseconds } from '@rattanreel/core';

/** Memory for the bodies of requests that have not ended, in bytes. */
export interface MemoryReservation {
  /** Reserves memory for a body of `bytes` in all; returns false, without effect, if there is none. */
  tryGrow(bytes: number): boolean;
  release(): void;
}

/** Garbage among young objects only, or among all. */
export type GarbageKind = 'minor' | 'major';

/** Measures and collects the garbage of the process. */
export interface GarbageCollector {
  measure(): {
    /** Bytes outside the heap, those of garbage included. */
    readonly externalBytes: number;
    /** Used share of the heap's limit. */
    readonly heapShare: number;
  };
  collect(kind: GarbageKind): void;
}

/** What one connection holds beside the bodies of its requests. */
export interface MemoryShare {
  /** Sets the bytes that are held; others, or this connection, may be evicted for them. */
  set(bytes: number): void;
  /** Records that a part of a message has arrived, and whether the message is incomplete. */
  recordArrival(isIncomplete: boolean): void;
  end(): void;
}

/** The memory that callers of a process use together. */
export interface CallerMemory {
  /** Returns the bytes that are reserved for bodies. */
  getUsed(): number;
  /** Returns the bytes that connections hold beside bodies. */
  getOverhead(): number;
  /** Counts bytes that a caller has sent, which are garbage once they are parsed. */
  recordReceived(bytes: number): void;
  /** Begins the reservation for one request, without memory. */
  reserve(): MemoryReservation;
  /** Begins to count for one connection; `evict` must end what it holds. */
  open(evict: () => void): MemoryShare;
}

/** Limits on the messages of one connection. */
export interface IntakeLimits {
  /** Largest sum of the header fields of a request, in bytes. */
  readonly headerBytes: number;
  /** Longest time from the first byte of a head to its end. */
  readonly headerTimeout: Milliseconds;
  /** Longest time without a byte between requests, and without progress of a response. */
  readonly idleTimeout: Milliseconds;
}

/** Why a connection or an incomplete request was ended. */
export type IntakeEnd =
  /** The head did not arrive within its time. */
  | 'headLate'
  /** The body did not arrive within the time of its request. */
  | 'bodyLate'
  /** The head exceeds its limit. */
  | 'headTooLarge'
  /** The memory of callers is used up. */
  | 'evicted'
  /** There are as many connections as the process may have. */
  | 'tooManyConnections'
  /** The caller does not read its response. */
  | 'unread';

/** Why the body of a request is read no further. */
export type ReadingEnd = 'late' | 'evicted';

/** The reading of a body, as its connection sees it. */
export interface BodyReading {
  /** Time at which a body that is not complete has expired. */
  readonly expiresAt: Milliseconds;
  /** Returns the number of bytes that were received. */
  getReceived(): number;
  stop(end: ReadingEnd): void;
}

/** A request whose head has been parsed. */
export interface ParsedMessage {
  readonly incoming: IncomingMessage;
  /** Length of the body in bytes; undefined if it is in chunks. */
  readonly length: number | undefined;
  /** Returns the bytes of the body that were received. */
  getReceived(): number;
}

/** A connection of a caller, from which requests are read one after the other. */
export interface IntakeConnection {
  /** Lets the connection end a body that does not arrive. */
  setReading(incoming: IncomingMessage, reading: BodyReading): void;
  /** Counts what has been written and not been sent. */
  countUnsent(): void;
}

export interface IntakeOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly memory: CallerMemory;
  /** Returns the largest number of connections. */
  readonly getMaximumConnections: () => number;
  readonly getLimits: () => IntakeLimits;
  readonly onEnd?: ((end: IntakeEnd) => void) | undefined;
}

/** Bounds the connections of one server. */
export interface Intake {
  /** Takes over the connections of a server that was created with the listener of `handle`. */
  guard(server: Server): void;
  /** Returns a listener that counts each request and passes it on. */
  handle(listener: RequestListener): RequestListener;
  /** Returns undefined for a connection that is not guarded. */
  tryGetConnection(incoming: IncomingMessage): IntakeConnection | undefined;
}

/** What a host may use; Infinity where it is not limited. */
export interface HostCapacity {
  /** Bytes of memory. */
  readonly memory: number;
  readonly descriptors: number;
}

/** How many connections each endpoint of a host may have. */
export interface ConnectionLimits {
  readonly callers: number;
  readonly peers: number;
  /** Calls of all peers at once. */
  readonly peerCalls: number;
  /** For readiness checks, and again for scrapes of the metrics. */
  readonly checks: number;
  /** Connections of callers that may wait to be accepted. */
  readonly backlog: number;
}

/** How the body of a request was read. */
export type BodyResult =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'tooLarge' }
  /** There is no memory for the body; all of it was read and discarded if it is complete. */
  | { readonly kind: 'noMemory'; readonly isComplete: boolean }
  /** The time of the request has passed before all of the body has arrived. */
  | { readonly kind: 'late' }
  /** The host stops before all of the body has arrived. */
  | { readonly kind: 'stopped' }
  /** The caller disconnected before the end of the body. */
  | { readonly kind: 'cut' };

/** Runs work in turns, between which other events are handled. */
export interface WorkQueue {
  /** Runs `work` at once, or in a later turn if much has been done in this one. */
  runOrAdd(work: () => number): void;
  /** Runs `work` in a later turn; it returns how much work it was. */
  add(work: () => number): void;
}
