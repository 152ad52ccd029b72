/** Types of one attempt to send a request to one backend server. */
import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { AbortReason, AttemptOutcome, ListedServer } from '../types';

/** Time after which a request must not be sent, and the header that tells the server what is left. */
export interface AttemptDeadline {
  readonly at: Milliseconds;
  readonly header: string;
}

export interface AttemptRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Header in which the server echoes the request's identifier. */
  readonly requestIdHeader: string;
  /** Header that marks a response to a request that the server did not run. */
  readonly notRunHeader: string;
  /** Header with the seconds for which a server that is full wants no other request. */
  readonly retryAfterHeader: string;
  /** Checked right before the request is written; undefined if it may be sent at any time. */
  readonly deadline?: AttemptDeadline;
}

export interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  /** Whether the response ends only when the connection is closed. */
  readonly isDelimitedByClose: boolean;
}

/** Receives the events of an attempt in order; `onEnd` is called once, as the last one. */
export interface AttemptSink {
  onHead(head: ResponseHead): void;
  /** Returns false to pause the attempt; see {@link Attempt.resume}. */
  onData(chunk: Buffer): boolean;
  onEnd(end: AttemptOutcome): void;
}

export interface Attempt {
  /** Ends the attempt and closes its connection. */
  abort(reason: AbortReason): void;
  /** Continues after a pause. */
  resume(): void;
}

/**
 * Whether a server accepts connections. One that refuses them has ended, unless it is the path to it
 * that refuses them; an unreachable one may be running.
 */
export type Listening = 'accepting' | 'refused' | 'unreachable';

export interface ServerConnections {
  send(server: ListedServer, request: AttemptRequest, sink: AttemptSink): Attempt;
  /** Checks whether a server accepts connections; calls back once. */
  checkListening(server: ListedServer, onChecked: (listening: Listening) => void): void;
  /** Replaces the connections to a server; attempts in flight complete on the old ones. */
  renew(server: ListedServer): void;
  /** Closes the connections to servers that are no longer listed, once they are idle. */
  retainServers(servers: ReadonlyMap<BackendServerId, ListedServer>): void;
  close(): Promise<void>;
}
