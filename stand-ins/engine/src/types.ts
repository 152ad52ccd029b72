/** Types of the HTTP stand-in for a model engine. */
import type { Clock, Milliseconds, Outcome, VersionId } from '@rattanreel/core';
import type {
  ColdStartOptions,
  EngineHardware,
  EngineLoad,
  EngineRefusal,
  HardwareGeneration,
  RequestAudit,
} from '@rattanreel/stand-in-engine-model';

export interface EngineStandInOptions {
  readonly id: string;
  readonly version?: VersionId;
  /** Generation of the hardware; its costs and room can be overridden one by one. */
  readonly generation?: HardwareGeneration;
  readonly hardware?: Partial<EngineHardware>;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing?: boolean;
  readonly clock?: Clock;
  readonly seed?: number;
  readonly host?: string;
  /** Port to listen on; 0 takes a free one. */
  readonly port?: number;
  readonly cold?: boolean;
  readonly coldStart?: Partial<ColdStartOptions>;
  readonly reportLag?: Milliseconds;
  readonly cacheEventDelay?: Milliseconds;
  readonly cacheEventLossShare?: number;
  /** How long loading a version takes. */
  readonly loadMilliseconds?: Milliseconds;
}

/** How a version misbehaves; all of it for the named version only. */
export interface VersionRegression {
  readonly version: VersionId;
  /** Share of the requests that fail after their first tokens. */
  readonly failureShare?: number;
  /** Divides the speed of the engine while it serves the version. */
  readonly slowDownFactor?: number;
  /** Requests that go well before the badness begins. */
  readonly afterRequests?: number;
  /** Streams in hand from which on the badness shows. */
  readonly fromStreams?: number;
}

export interface EngineStandIn {
  readonly id: string;
  /** Base URL, with the port that was taken. */
  readonly address: string;
  getAudits(): readonly RequestAudit[];
  /** Version that is loaded or being loaded. */
  getVersion(): VersionId;
  /** Orders taken so far, in their order. */
  getOrders(): readonly EngineOrder[];
  slowDown(factor: number): void;
  /** Every open connection goes silent for good; new ones work. */
  stallOpenConnections(): void;
  resetToCold(): void;
  /** Answers the next `count` requests with 500 and does not run them. */
  failNextRequests(count: number): void;
  /** Cuts the connection of the next stream after `tokens` tokens; the stream itself goes on. */
  disconnectStreamAfter(tokens: number): void;
  /** Makes a version bad; undefined makes every version good again. */
  injectRegression(bad: VersionRegression | undefined): void;
  setLeaving(leaving?: boolean): void;
  close(): Promise<void>;
}

/** An order as it came in. */
export type EngineOrder =
  | { readonly order: 'loadVersion'; readonly version: VersionId; readonly fence: number }
  | { readonly order: 'loadAdapter'; readonly adapter: string; readonly fence: number }
  | { readonly order: 'setRole'; readonly role: string; readonly fence: number };

/** A chat completion request, as far as the stand-in reads it. */
export interface ChatCompletionRequest {
  readonly model: string;
  readonly stream: boolean;
  readonly promptWords: readonly string[];
  readonly outputTokens: number;
}

/** Tokens of one stream, kept until a minute after its end. */
export interface TokenStream {
  readonly request: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly prefixHashes: readonly string[];
  tokens: number;
  cachedTokens: number;
  /** Undefined while the stream runs. */
  end: 'completed' | 'failed' | 'cancelled' | undefined;
  /** Cuts the next connection that carries the stream after this many tokens. */
  disconnectAfterTokens: number | undefined;
  readonly subscribers: Set<() => void>;
}

/** The engine's own load report, as it goes over the wire. */
export interface EngineLoadReport extends EngineLoad {
  readonly role: string;
  readonly fence: number;
}

/** An order with an older fencing number than one taken before. */
export interface StaleFence {
  readonly kind: 'staleFence';
  readonly fence: number;
}

export interface ExportedCache {
  readonly request: string;
  readonly prefixHashes: readonly string[];
}

/** What stands between the HTTP interface and the engine model. */
export interface EngineService {
  startStream(request: string, body: ChatCompletionRequest): Outcome<TokenStream, EngineRefusal>;
  tryGetStream(request: string): TokenStream | undefined;
  tryExportCache(request: string): ExportedCache | undefined;
  acceptOrder(order: EngineOrder): Outcome<void, StaleFence>;
  getLoad(): EngineLoadReport;
  getOrders(): readonly EngineOrder[];
  getVersion(): VersionId;
  disconnectStreamAfter(tokens: number): void;
  injectRegression(bad: VersionRegression | undefined): void;
  slowDown(factor: number): void;
  close(): void;
}
