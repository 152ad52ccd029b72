/** Types of the engine model: a continuous-batching engine that runs on any clock. */
import type {
  Clock,
  Milliseconds,
  Outcome,
  PriorityQueue,
  Random,
  RequestId,
  VersionId,
} from '@rattanreel/core';

/** Five generations of hardware, slowest first. */
export type HardwareGeneration = 'first' | 'second' | 'third' | 'fourth' | 'fifth';

/** Cost of an engine's iterations and its capacity. */
export interface EngineHardware {
  /** Fixed cost of an iteration, independent of its batch. */
  readonly iterationMilliseconds: Milliseconds;
  /** Added to an iteration by each stream that generates a token in it. */
  readonly decodeMillisecondsPerStream: Milliseconds;
  /** Added to an iteration by each token held in memory. */
  readonly contextMillisecondsPerToken: Milliseconds;
  /** Added to an iteration by each prompt token prefilled in it. */
  readonly prefillMillisecondsPerToken: Milliseconds;
  /** Maximum number of prompt tokens prefilled in one iteration. */
  readonly prefillTokensPerIteration: number;
  /** Memory capacity for running streams, in tokens. */
  readonly memoryTokens: number;
  /** Maximum number of concurrent streams; further ones wait in the engine's own queue. */
  readonly maximumStreams: number;
  /** Capacity of the prefix cache, separate from the memory of running streams. */
  readonly prefixCacheTokens: number;
}

/** How a cold engine warms up, and its capacity until then. */
export interface ColdStartOptions {
  /** Busy time until the engine is warm. */
  readonly warmUpMilliseconds: Milliseconds;
  /** Speed of an engine that has just started, as a share of its warm speed. */
  readonly coldSpeedShare: number;
  /** Stream capacity of an engine that has just started; grows to the maximum as it warms up. */
  readonly coldStreamCapacity: number;
  /** The engine crashes when it has more streams than its current capacity times this factor. */
  readonly crashFactor: number;
  /** Time after a crash during which the engine has no model loaded. */
  readonly restartMilliseconds: Milliseconds;
}

export interface EngineModelOptions {
  readonly id: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly hardware: EngineHardware;
  readonly version?: VersionId;
  /** Whether the engine starts cold. */
  readonly cold?: boolean;
  readonly coldStart?: Partial<ColdStartOptions>;
  /** Age of the newest load report that the engine returns. */
  readonly reportLag?: Milliseconds;
  /** Delay between a change of the prefix cache and its event. */
  readonly cacheEventDelay?: Milliseconds;
  /** Share of the cache events that are lost. */
  readonly cacheEventLossShare?: number;
  /** Whether listeners are notified of every token; otherwise of the first one and the end only. */
  readonly notifyEveryToken?: boolean;
}

/** Why an engine refuses a request before it accepts it. */
export type EngineRefusal =
  | { readonly kind: 'requestSeenBefore' }
  | { readonly kind: 'noModelLoaded' }
  | { readonly kind: 'memoryTooSmall' }
  | { readonly kind: 'injectedFailure' };

/** How a stream ended. */
export type StreamEnd =
  | { readonly kind: 'completed'; readonly outputTokens: number; readonly cachedTokens: number }
  | { readonly kind: 'failed'; readonly outputTokens: number }
  | { readonly kind: 'cancelled'; readonly outputTokens: number };

/** Receives the progress and the end of one stream. */
export interface StreamListener {
  /** Called with the number of tokens generated so far. */
  onTokens(outputTokens: number, cachedTokens: number): void;
  onEnd(end: StreamEnd): void;
}

export interface EngineRequest {
  readonly request: RequestId;
  readonly promptTokens: number;
  /** Number of tokens to generate. */
  readonly outputTokens: number;
  readonly prefixHashes: readonly string[];
  readonly listener: StreamListener;
}

/** Load that the engine reports of itself, as of `reportedAgo` before now. */
export interface EngineLoad {
  readonly incarnation: string;
  readonly reportedAgo: Milliseconds;
  readonly running: number;
  readonly waiting: number;
  readonly memoryTokensUsed: number;
  readonly memoryTokensTotal: number;
  readonly version: VersionId;
  readonly ready: boolean;
  readonly leaving: boolean;
}

/** Prefixes that were added to or evicted from the cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

/** Record of one request at one engine. */
export interface RequestAudit {
  readonly request: RequestId;
  /** Number of times the request was submitted; more than one is an error of the caller. */
  dispatches: number;
  prefilledTokens: number;
  /** Tokens prefilled for a stream that did not complete, or lost in an eviction. */
  wastedPrefillTokens: number;
  evictions: number;
  state: 'refused' | 'running' | 'completed' | 'failed' | 'cancelled';
}

export interface EngineModel {
  readonly id: string;
  submit(request: EngineRequest): Outcome<void, EngineRefusal>;
  /** Cancels a stream; does nothing if it is unknown or has ended. */
  cancel(request: RequestId): void;
  /** Ends a stream as failed, as a faulty engine does. */
  fail(request: RequestId): void;
  getLoad(): EngineLoad;
  /** Returns the events after `sequence` that have become visible. */
  getCacheEventsAfter(sequence: number): readonly CacheEvent[];
  /** Adds prefixes to the cache, as a cache import does. */
  importPrefixes(hashes: readonly string[]): void;
  getAudits(): readonly RequestAudit[];
  /** Divides the engine's speed by `factor`; 1 restores it. */
  slowDown(factor: number): void;
  /**
   * Resets the warm-up and clears the prefix cache without ending streams or changing the
   * incarnation.
   */
  resetToCold(): void;
  /** Fails every stream and restarts cold after the restart time. */
  crash(): void;
  /** Refuses the next `count` requests. */
  failNextRequests(count: number): void;
  /** Loads a version: every stream fails, and no model is ready until `duration` has passed. */
  loadVersion(version: VersionId, duration: Milliseconds): void;
  setLeaving(leaving: boolean): void;
  /** Cancels every timer; running streams stop without a call of `onEnd`. */
  close(): void;
}

/** State of one request in the engine. */
export interface EngineStream {
  readonly request: EngineRequest;
  readonly audit: RequestAudit;
  /** Position in the order of admission; the stream admitted last is evicted first. */
  admissionIndex: number;
  cachedTokens: number;
  /** Prompt tokens still to be prefilled; after an eviction also the tokens generated so far. */
  remainingPrefillTokens: number;
  /** Tokens generated before the current decode began. */
  generatedBeforeDecode: number;
  /** Generated tokens that were in memory when the current decode began. */
  memoryTokensBeforeDecode: number;
  /** Iteration in which the stream began to decode. */
  decodeStart: number;
  /** Iteration that generates the last token. */
  decodeEnd: number;
  notifiedTokens: number;
  state: 'waiting' | 'prefilling' | 'decoding' | 'ended';
}

/** A bounded set of prompt prefixes with least-recently-used eviction. */
export interface PrefixCache {
  /** Returns how many leading blocks of `hashes` are cached, and marks them as used. */
  match(hashes: readonly string[]): number;
  /** Adds every block; returns the blocks added and evicted. */
  insert(hashes: readonly string[]): PrefixCacheChange;
  /** Clears the cache; returns the blocks removed. */
  clear(): readonly string[];
}

export interface PrefixCacheChange {
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

/** Returns changes of the prefix cache after a delay, and loses some of them. */
export interface CacheEventLog {
  record(change: PrefixCacheChange): void;
  getEventsAfter(sequence: number): readonly CacheEvent[];
}

/** Returns load reports with a lag. */
export interface LoadHistory {
  record(load: Omit<EngineLoad, 'reportedAgo'>): void;
  getNewestVisible(): EngineLoad;
}

/** Warm-up state of an engine. */
export interface WarmUpModel {
  /** Adds busy time. */
  advance(span: Milliseconds): void;
  isWarm(): boolean;
  /** Returns the speed with `streams` admitted or waiting, as a share of the warm speed. */
  getSpeedShare(streams: number): number;
  /** Whether the engine crashes under a load of `streams`. */
  crashesUnder(streams: number): boolean;
  reset(): void;
}

/** Entry of the queue of stream ends; stale once the stream's `decodeEnd` differs. */
export interface DecodingEntry {
  readonly stream: EngineStream;
  readonly endIteration: number;
}

/** Mutable state of an engine that advances with time. */
export interface EngineState {
  readonly hardware: EngineHardware;
  readonly warmUp: WarmUpModel;
  readonly waiting: EngineStream[];
  readonly prefilling: EngineStream[];
  /** Decoding streams, ordered by their end; stale entries are skipped. */
  readonly decoding: PriorityQueue<DecodingEntry>;
  decodingCount: number;
  /** Iterations completed so far; the fraction is the progress of the current one. */
  iteration: number;
  memoryUsed: number;
  advancedAt: Milliseconds;
  iterationMilliseconds: Milliseconds;
  slowDownFactor: number;
  admissionCount: number;
}

export interface EngineBatchOptions {
  readonly clock: Clock;
  readonly state: EngineState;
  readonly cache: PrefixCache;
  readonly notifyEveryToken: boolean;
  /** Called with the prefixes added to and removed from the cache. */
  onCacheChange(change: PrefixCacheChange): void;
  /** Called after each change of the batch. */
  onChange(): void;
}

/** The streams of an engine and the timer that advances them. */
export interface EngineBatch {
  getRequests(): ReadonlySet<RequestId>;
  /** Counts the streams that are not in `requests`. */
  countOthers(requests: ReadonlySet<RequestId>): number;
  add(request: EngineRequest, audit: RequestAudit): void;
  end(request: RequestId, kind: 'cancelled' | 'failed'): void;
  failAll(): void;
  /** Advances the batch to now and schedules its next change; called after a change of speed. */
  update(): void;
  stop(): void;
}

/** Identity and condition of an engine, apart from its streams. */
export interface EngineStatus {
  incarnation: string;
  version: VersionId;
  ready: boolean;
  leaving: boolean;
  /** Number of requests still to be refused by injected failures. */
  remainingInjectedFailures: number;
}
