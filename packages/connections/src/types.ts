/** Types of connections that are tracked for undici, and of the connections of callers. */
import type { ServerResponse } from 'node:http';
import type { buildConnector } from 'undici';
import type { Milliseconds } from '@rattanreel/core';

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
