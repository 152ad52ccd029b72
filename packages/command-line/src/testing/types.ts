/** Types of the tests that run the program as a process of its own. */
import type { Milliseconds } from '@rattanreel/core';
import type { EntryHost } from '@rattanreel/entry-host';

/** A way to run an entry host: the launcher of the deploy file, or a command of the whole program. */
export type ProgramKind = 'entryHost' | 'servePlatform' | 'serve';

/** How a process ended. */
export type ProgramEnd =
  | { readonly kind: 'exited'; readonly code: number }
  | { readonly kind: 'killed'; readonly signal: NodeJS.Signals };

/** A line of the structured log. */
export interface LogLine {
  readonly msg: string;
  readonly [field: string]: unknown;
}

/** A running program. */
export interface Program {
  readonly processId: number;
  readonly ended: Promise<ProgramEnd>;
  /** Undefined while the program runs. */
  tryGetEnd(): ProgramEnd | undefined;
  sendSignal(signal: NodeJS.Signals): void;
  /** Returns the structured lines of standard output and standard error. */
  getLines(): readonly LogLine[];
  /** Returns the other lines. */
  getUnstructuredLines(): readonly string[];
  /** Resolves with the first line of this message; rejects if the program ends, or after 15 s. */
  waitForLine(message: string): Promise<LogLine>;
}

/** What a caller observed of one request. */
export interface CallerResult {
  readonly request: string;
  /** `closed`: the connection ended without a whole response; `refused`: there was no connection. */
  readonly kind: 'responded' | 'closed' | 'refused';
  readonly status: number | undefined;
  readonly sentAt: Milliseconds;
  readonly endedAt: Milliseconds;
}

/** A deployment of stand-ins before one program. */
export interface Scene {
  /** Words after the executable of Node.js. */
  readonly words: readonly string[];
  readonly settingsFile: string;
  /** Ports of the program by the name of the endpoint. */
  readonly ports: Readonly<Record<string, number>>;
  isReady(): Promise<boolean>;
  /** Replaces the backend server by a process at another address. */
  replaceServer?(address: string): void;
  /** Requests that a backend server has begun to run. */
  listBegun(): ReadonlySet<string>;
  /** Returns a request with this identifier: an order or a read. */
  createRequest(request: string, kind: 'order' | 'read'): SceneRequest;
  close(): Promise<void>;
}

export interface SceneRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** An entry host of `serve` in the process of a test. */
export interface ServeRun {
  readonly scene: Scene;
  readonly host: EntryHost;
}
