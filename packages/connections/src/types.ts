/** Types of connections that are tracked for undici. */
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
