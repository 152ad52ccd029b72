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
  /** Generation of the hardware; `hardware` overrides its costs and capacity one by one. */
  readonly generation?: HardwareGeneration;
  readonly hardware?: Partial<EngineHardware>;
  /** Whether orders with an outdated fencing token are refused. */
  readonly checksFencing?: boolean;
  readonly clock?: Clock;
  readonly seed?: number;
  readonly host?: string;
  /** Port to listen on; 0 selects a free one. */
  readonly port?: number;
  readonly cold?: boolean;
  readonly coldStart?: Partial<ColdStartOptions>;
  readonly reportLag?: Milliseconds;
  readonly cacheEventDelay?: Milliseconds;
  readonly cacheEventLossShare?: number;
  /** Time to load a version. */
  readonly loadMilliseconds?: Milliseconds;
}

/** Regression of one version; other versions are not affected. */
export interface VersionRegression {
  readonly version: VersionId;
  /** Share of requests that fail after their first tokens. */
  readonly failureShare?: number;
  /** Divides the speed of the engine while it serves the version. */
  readonly slowDownFactor?: number;
  /** Number of requests of the version before the regression begins. */
  readonly afterRequests?: number;
  /** Minimum number of running streams at which the regression is active. */
  readonly fromStreams?: number;
}

export interface EngineStandIn {
  readonly id: string;
  /** Base URL, with the actual port. */
  readonly address: string;
  getAudits(): readonly RequestAudit[];
  /** Returns the version that is loaded or being loaded. */
  getVersion(): VersionId;
  /** Returns the accepted orders, oldest first. */
  getOrders(): readonly EngineOrder[];
  slowDown(factor: number): void;
  /** Stalls every open connection permanently; new ones work. */
  stallOpenConnections(): void;
  resetToCold(): void;
  /** Responds to the next `count` requests with 500 without running them. */
  failNextRequests(count: number): void;
  /**
   * Closes the connection of the next stream after `tokens` tokens; the stream itself continues.
   */
  disconnectStreamAfter(tokens: number): void;
  /** Injects a regression; `undefined` removes it. */
  injectRegression(regression: VersionRegression | undefined): void;
  setLeaving(leaving?: boolean): void;
  close(): Promise<void>;
}

/** An order as received. */
export type EngineOrder =
  | { readonly order: 'loadVersion'; readonly version: VersionId; readonly fence: number }
  | { readonly order: 'loadAdapter'; readonly adapter: string; readonly fence: number }
  | { readonly order: 'setRole'; readonly role: string; readonly fence: number };

/** The parts of a chat completion request that the stand-in uses. */
export interface ChatCompletionRequest {
  readonly model: string;
  readonly stream: boolean;
  readonly promptWords: readonly string[];
  readonly outputTokens: number;
}

/** Progress of one stream, retained for a minute after its end. */
export interface TokenStream {
  readonly request: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly prefixHashes: readonly string[];
  tokens: number;
  cachedTokens: number;
  /** `undefined` while the stream runs. */
  end: 'completed' | 'failed' | 'cancelled' | undefined;
  /** Number of tokens after which the next connection that carries the stream is closed. */
  disconnectAfterTokens: number | undefined;
  readonly subscribers: Set<() => void>;
}

/** The engine's load report in its wire format. */
export interface EngineLoadReport extends EngineLoad {
  readonly role: string;
  readonly fence: number;
}

/** Error of an order whose fencing token is older than that of an accepted order. */
export interface StaleFence {
  readonly kind: 'staleFence';
  readonly fence: number;
}

export interface ExportedCache {
  readonly request: string;
  readonly prefixHashes: readonly string[];
}

/** Operations that the HTTP interface and the stand-in's handle call. */
export interface EngineService {
  startStream(request: string, body: ChatCompletionRequest): Outcome<TokenStream, EngineRefusal>;
  tryGetStream(request: string): TokenStream | undefined;
  tryExportCache(request: string): ExportedCache | undefined;
  acceptOrder(order: EngineOrder): Outcome<void, StaleFence>;
  getLoad(): EngineLoadReport;
  getOrders(): readonly EngineOrder[];
  getVersion(): VersionId;
  disconnectStreamAfter(tokens: number): void;
  injectRegression(regression: VersionRegression | undefined): void;
  slowDown(factor: number): void;
  close(): void;
}
