/** What passes between an entry host and the backend servers for one request. */
import type { Clock, Milliseconds, Outcome, RequestId } from '@rattanreel/core';

/** The one-way life of a request at its entry host. */
export type RequestState = 'queued' | 'granted' | 'dispatched' | 'ended';

/** Guards the order of a request's states, so that it is dispatched at most once. */
export interface RequestLifecycle {
  getState(): RequestState;
  /** From `queued` to `granted`; false in any other state. */
  tryGrant(): boolean;
  /** From `granted` back to `queued`, when the grant was not used; false in any other state. */
  tryRequeue(): boolean;
  /** From `granted` to `dispatched`, once; false in any other state. Called before the first byte is written. */
  tryDispatch(): boolean;
  /** From `dispatched` back to `queued`, when no connection was made and so no byte was written. */
  tryRequeueUnsent(): boolean;
  /** To `ended` from anywhere; true when this call ended it. */
  tryEnd(): boolean;
  /** Whether the request can still be refused as not run. */
  isNotRun(): boolean;
}

/** Token counts as the engine reports them at the end of a stream. */
export interface StreamUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
}

/** A piece of an engine's stream. */
export type StreamEvent =
  /** `data` is the engine's JSON text, relayed as it is; `tokens` counts the tokens sent so far. */
  | { readonly kind: 'tokens'; readonly data: string; readonly tokens: number }
  | { readonly kind: 'usage'; readonly data: string; readonly usage: StreamUsage }
  | { readonly kind: 'done' };

/** Why a call to a backend server failed. */
export type BackendServerError =
  /** No connection could be made and no byte was written. */
  | { readonly kind: 'notConnected'; readonly detail: string }
  /** The backend server answered that it does not take the request. */
  | { readonly kind: 'rejected'; readonly status: number; readonly detail: string }
  /** The connection broke after bytes had been written. */
  | { readonly kind: 'interrupted'; readonly detail: string }
  /** Nothing came for the longest time allowed. */
  | { readonly kind: 'silent' }
  /** The engine does not know the stream any more. */
  | { readonly kind: 'streamUnknown' }
  /** The caller has gone, or the deadline has passed. */
  | { readonly kind: 'aborted' }
  | { readonly kind: 'invalidAnswer'; readonly detail: string };

/** Events of an engine's stream in batches, as they arrived. */
export type StreamBatches = AsyncIterable<readonly StreamEvent[]>;

export interface LoadResponse {
  readonly incarnation: string;
  readonly reportedAgo: Milliseconds;
  readonly running: number;
  readonly waiting: number;
  readonly memoryTokensUsed: number;
  readonly memoryTokensTotal: number;
  readonly version: string;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Of a model engine only. */
  readonly role?: string;
}

export interface CacheEvent {
  readonly sequence: number;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

export interface OpenStreamOptions {
  readonly address: string;
  readonly request: RequestId;
  readonly body: string;
  /** Longest wait for the answer's head. */
  readonly headersTimeout: Milliseconds;
  /** Longest wait between two pieces of the answer. */
  readonly idleTimeout: Milliseconds;
  readonly signal: AbortSignal;
}

export interface ResumeStreamOptions extends Omit<OpenStreamOptions, 'body'> {
  /** Tokens that have arrived already. */
  readonly afterTokens: number;
}

/** Calls to model engines. None of them is ever repeated by the client itself. */
export interface EngineClient {
  openStream(options: OpenStreamOptions): Promise<Outcome<StreamBatches, BackendServerError>>;
  resumeStream(options: ResumeStreamOptions): Promise<Outcome<StreamBatches, BackendServerError>>;
  cancelStream(address: string, request: RequestId): Promise<void>;
  fetchLoad(address: string): Promise<Outcome<LoadResponse, BackendServerError>>;
  fetchCacheEvents(
    address: string,
    after: number,
  ): Promise<Outcome<readonly CacheEvent[], BackendServerError>>;
  close(): Promise<void>;
}

/** How a stream ended for its caller. */
export interface StreamResult {
  readonly kind: 'completed' | 'failed';
  readonly error: BackendServerError | undefined;
  readonly tokens: number;
  readonly usage: StreamUsage | undefined;
  readonly firstTokenAfter: Milliseconds | undefined;
  readonly duration: Milliseconds;
  readonly resumeCount: number;
}

/** One call of a plain service. */
export interface ServiceRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly timeout: Milliseconds;
  /** Whether the call must have a connection of its own, so that a broken one tells what happened. */
  readonly dedicatedConnection: boolean;
  readonly signal: AbortSignal;
}

export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export interface ServiceClient {
  call(options: ServiceRequest): Promise<Outcome<ServiceResponse, BackendServerError>>;
  close(): Promise<void>;
}

/** One stream at one engine. */
export interface EngineStreamOptions {
  readonly client: EngineClient;
  readonly clock: Clock;
  readonly address: string;
  readonly request: RequestId;
  readonly body: string;
  /** Longest wait for the first token. */
  readonly firstTokenTimeout: Milliseconds;
  /** Longest wait between tokens before the connection is taken for silent. */
  readonly idleTimeout: Milliseconds;
  readonly signal: AbortSignal;
  /** Takes each batch in order; the next is read once it resolves. */
  readonly onEvents: (events: readonly StreamEvent[]) => Promise<void>;
  readonly onFirstToken: (after: Milliseconds) => void;
}
