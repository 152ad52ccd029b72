/** Types of the calls from an entry host to backend servers. */
import type { Clock, Milliseconds, Outcome, RequestId } from '@rattanreel/core';

/** State of a request at its entry host. */
export type RequestState = 'queued' | 'granted' | 'dispatched' | 'ended';

/** State machine of a request; it ensures that the request is dispatched at most once. */
export interface RequestLifecycle {
  getState(): RequestState;
  /** Changes from `queued` to `granted`; false in any other state. */
  tryGrant(): boolean;
  /** Changes from `granted` back to `queued`, for an unused grant; false in any other state. */
  tryRequeue(): boolean;
  /**
   * Changes from `granted` to `dispatched`, once; false in any other state. Must be called before
   * the first byte is written.
   */
  tryDispatch(): boolean;
  /**
   * Changes from `dispatched` back to `queued`, when no connection was made and so no byte was
   * written; false in any other state.
   */
  tryRequeueUnsent(): boolean;
  /** Changes to `ended` from any state; false when the request had ended before. */
  tryEnd(): boolean;
  /** Returns whether the request was not dispatched and can be refused as not run. */
  isNotRun(): boolean;
}

/** Token counts as the engine reports them at the end of a stream. */
export interface StreamUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
}

/** An event of an engine's stream. */
export type StreamEvent =
  /** `data` is the engine's JSON text, forwarded as is; `tokens` counts the tokens sent so far. */
  | { readonly kind: 'tokens'; readonly data: string; readonly tokens: number }
  | { readonly kind: 'usage'; readonly data: string; readonly usage: StreamUsage }
  | { readonly kind: 'done' };

/** Why a call to a backend server failed. */
export type BackendServerError =
  /** No connection could be made and no byte was written. */
  | { readonly kind: 'notConnected'; readonly detail: string }
  /** The backend server responded with a status other than success. */
  | { readonly kind: 'rejected'; readonly status: number; readonly detail: string }
  /** The connection broke after bytes had been written. */
  | { readonly kind: 'interrupted'; readonly detail: string }
  /** No data arrived within the timeout. */
  | { readonly kind: 'silent' }
  /** The engine no longer knows the stream. */
  | { readonly kind: 'streamUnknown' }
  /** The caller disconnected, or the deadline passed. */
  | { readonly kind: 'aborted' }
  | { readonly kind: 'invalidAnswer'; readonly detail: string };

/** Events of an engine's stream, in the batches in which they arrived. */
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
  /** Set by model engines only. */
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
  /** Maximum wait for the response headers. */
  readonly headersTimeout: Milliseconds;
  /** Maximum wait between two chunks of the response body. */
  readonly idleTimeout: Milliseconds;
  readonly signal: AbortSignal;
}

export interface ResumeStreamOptions extends Omit<OpenStreamOptions, 'body'> {
  /** Tokens received so far. */
  readonly afterTokens: number;
}

/** Calls model engines. The client itself never retries a call. */
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

/** The result of a stream. */
export interface StreamResult {
  readonly kind: 'completed' | 'failed';
  readonly error: BackendServerError | undefined;
  readonly tokens: number;
  readonly usage: StreamUsage | undefined;
  readonly firstTokenAfter: Milliseconds | undefined;
  readonly duration: Milliseconds;
  readonly resumeCount: number;
}

/** A call to a plain service. */
export interface ServiceRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly timeout: Milliseconds;
  /** Whether the call uses a connection of its own, so that its failure is unambiguous. */
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

/** Options of a stream from one engine. */
export interface EngineStreamOptions {
  readonly client: EngineClient;
  readonly clock: Clock;
  readonly address: string;
  readonly request: RequestId;
  readonly body: string;
  /** Maximum wait for the first token. */
  readonly firstTokenTimeout: Milliseconds;
  /** Maximum wait between tokens before the connection counts as unresponsive. */
  readonly idleTimeout: Milliseconds;
  readonly signal: AbortSignal;
  /** Receives each batch in order; the next batch is read once the promise resolves. */
  readonly onEvents: (events: readonly StreamEvent[]) => Promise<void>;
  readonly onFirstToken: (after: Milliseconds) => void;
}
