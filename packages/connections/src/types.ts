/**
 * Types of connections that are tracked for undici, of the connections of callers and of listening
 * servers.
 */
import type { ServerResponse } from 'node:http';
import type { Server } from 'node:net';
import type { buildConnector } from 'undici';
import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';

export interface TrackedConnectorOptions {
  /** Longest wait for a connection. */
  readonly timeout: Milliseconds;
}

/**
 * Opens connections for undici and tracks each one. undici calls the handler of a response while it
 * handles an event of the response's connection; the methods below refer to that connection.
 */
export interface TrackedConnector {
  readonly connect: buildConnector.connector;
  /** Returns whether the connection was reset or failed, and so not closed by the server. */
  isReset(): boolean;
  /** Stops reading from the connection; returns the function that reads on. */
  pause(): () => void;
}

/** A listening endpoint of an entry host. */
export type ListenEndpoint = 'callers' | 'readiness' | 'peers' | 'metrics';

/** What failed: to listen on the address, or to accept a connection. */
export type ListenOperation = 'listen' | 'accept';

/** Reason why an endpoint does not listen; `code` is that of the operating system or Node.js. */
export type ListenError =
  /** The address is malformed or of an unknown host. */
  | ListenFailure<'invalidAddress'>
  /** The operating system refuses the address for good, for example for lack of permission. */
  | ListenFailure<'addressRefused'>
  /** The signal was aborted before the address was available. */
  | { readonly kind: 'stopped'; readonly endpoint: ListenEndpoint; readonly address: string };

interface ListenFailure<Kind extends string> {
  readonly kind: Kind;
  readonly endpoint: ListenEndpoint;
  readonly address: string;
  readonly code: string;
}

/** What all endpoints of a process share while they begin to listen. */
export interface ListenContext {
  readonly clock?: Clock;
  readonly random?: Pick<Random, 'next'>;
  readonly logger?: Pick<Logger, 'info' | 'warn' | 'error'>;
  /** Ends the attempts. */
  readonly signal?: AbortSignal | undefined;
  readonly countFailure?: (endpoint: ListenEndpoint, operation: ListenOperation) => void;
}

export interface ListenOptions extends ListenContext {
  /** Must not listen yet. */
  readonly server: Server;
  readonly endpoint: ListenEndpoint;
  /** HOST:PORT; port 0 chooses any free port. */
  readonly address: string;
  /** Connections that may wait to be accepted; the system's default if absent. */
  readonly backlog?: number | undefined;
}

/** Where a server listens, in the terms of Node.js. */
export interface ListenTarget {
  readonly host: string;
  readonly port: number;
  readonly backlog: number | undefined;
}

export interface ListeningAddress {
  /** HOST:PORT, with the port that was chosen. */
  readonly address: string;
}

/** The requests of one connection, in the order of their arrival. */
export interface RequestTurns {
  /** Adds a request; `onEnd` is called once, when its response has been sent or its connection ends. */
  add(outgoing: ServerResponse, onEnd: () => void): RequestTurn;
}

export interface RequestTurn {
  /**
   * Calls back, at once if possible, when all earlier responses have been sent; never if one of them
   * closes the connection.
   */
  begin(handle: () => void): void;
  /** Whether no later request of the connection has arrived. */
  isLast(): boolean;
}
