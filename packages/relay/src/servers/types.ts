/** One attempt to have a request answered by one backend server. */
import type { BackendServerId } from '@rattanreel/core';
import type { AbortReason, AttemptOutcome, ListedServer } from '../types';

export interface AttemptRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Header in which the server echoes the request's identifier. */
  readonly requestIdHeader: string;
  /** Header that says that the server did not run the request. */
  readonly notRunHeader: string;
}

export interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  /** Whether only the end of the connection tells the end of the answer. */
  readonly isDelimitedByClose: boolean;
}

/** Takes what an attempt brings, in order; `onEnd` comes once and last. */
export interface AttemptSink {
  onHead(head: ResponseHead): void;
  /** Returns false when it wants a pause; see {@link Attempt.resume}. */
  onData(chunk: Buffer): boolean;
  onEnd(end: AttemptOutcome): void;
}

export interface Attempt {
  /** Ends the attempt and its connection. */
  abort(reason: AbortReason): void;
  /** Goes on after a pause. */
  resume(): void;
}

export interface ServerConnections {
  send(server: ListedServer, request: AttemptRequest, sink: AttemptSink): Attempt;
  /** Closes the connections to servers that are not listed any more, once they are unused. */
  retainServers(servers: ReadonlyMap<BackendServerId, ListedServer>): void;
  close(): Promise<void>;
}
