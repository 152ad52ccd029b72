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

/** What one iteration of an engine costs, and how much it can hold. */
export interface EngineHardware {
  /** Cost of an iteration whatever its batch. */
  readonly iterationMilliseconds: Milliseconds;
  /** Added to an iteration by each stream that generates a token in it. */
  readonly decodeMillisecondsPerStream: Milliseconds;
  /** Added to an iteration by each token held in memory. */
  readonly contextMillisecondsPerToken: Milliseconds;
  /** Added to an iteration by each prompt token prefilled in it. */
  readonly prefillMillisecondsPerToken: Milliseconds;
  /** Most prompt tokens prefilled in one iteration. */
  readonly prefillTokensPerIteration: number;
  /** Room for the tokens of running streams. */
  readonly memoryTokens: number;
  /** Most streams that run at once; later ones wait in the engine's own queue. */
  readonly maximumStreams: number;
  /** Room of the prefix cache, beside the memory of running streams. */
  readonly prefixCacheTokens: number;
}

/** How a cold engine warms up and what it bears until then. */
export interface ColdStartOptions {
  /** Time with work in hand until the engine is warm. */
  readonly warmUpMilliseconds: Milliseconds;
  /** Speed of an engine that has just started, as a share of its warm speed. */
  readonly coldSpeedShare: number;
  /** Streams that an engine bears when it has just started; grows to the maximum with warmth. */
  readonly coldStreamCapacity: number;
  /** An engine given this many times what it bears falls over. */
  readonly crashFactor: number;
  /** How long an engine that fell over has no model. */
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
  /** Age of the newest load report that the engine gives out. */
  readonly reportLag?: Milliseconds;
  /** Time from a change of the prefix cache to its event. */
  readonly cacheEventDelay?: Milliseconds;
  /** Share of the cache events that are lost. */
  readonly cacheEventLossShare?: number;
  /** Whether listeners hear of every token; without it, of the first one and of the end. */
  readonly notifyEveryToken?: boolean;
}

/** Why an engine refuses a request before it takes it in. */
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

/** Receives what happens to one stream. */
export interface StreamListener {
  /** `outputTokens` have been generated so far. */
  onTokens(outputTokens: number, cachedTokens: number): void;
  onEnd(end: StreamEnd): void;
}

export interface EngineRequest {
  readonly request: RequestId;
  readonly promptTokens: number;
  /** Tokens that the engine will generate. */
  readonly outputTokens: number;
  readonly prefixHashes: readonly string[];
  readonly listener: StreamListener;
}

/** The engine's own account of itself at an earlier instant. */
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

/** Prefixes that entered or left the cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

/** What became of one request at one engine. */
export interface RequestAudit {
  readonly request: RequestId;
  /** How often the request was submitted; more than once is a fault of the caller. */
  dispatches: number;
  prefilledTokens: number;
  /** Prefilled for a stream that did not finish, or prefilled again after an eviction. */
  wastedPrefillTokens: number;
  evictions: number;
  state: 'refused' | 'running' | 'completed' | 'failed' | 'cancelled';
}

export interface EngineModel {
  readonly id: string;
  submit(request: EngineRequest): Outcome<void, EngineRefusal>;
  /** Ends a stream; does nothing when it is unknown or has ended. */
  cancel(request: RequestId): void;
  /** Fails a stream, as an engine with a fault does. */
  fail(request: RequestId): void;
  getLoad(): EngineLoad;
  /** Events after `sequence` that have come through by now. */
  getCacheEventsAfter(sequence: number): readonly CacheEvent[];
  /** Adds prefixes to the cache, as an import does. */
  importPrefixes(hashes: readonly string[]): void;
  getAudits(): readonly RequestAudit[];
  /** Divides the engine's speed by `factor`; 1 restores it. */
  slowDown(factor: number): void;
  /** Loses warmth and prefix cache without a word. */
  resetToCold(): void;
  /** Fails every stream and starts anew, cold, after the restart time. */
  crash(): void;
  /** Refuses the next `count` requests. */
  failNextRequests(count: number): void;
  /** Loads a version: no model is ready until `duration` has passed. */
  loadVersion(version: VersionId, duration: Milliseconds): void;
  setLeaving(leaving: boolean): void;
  /** Ends every stream and stops every timer. */
  close(): void;
}

/** One request in the engine. */
export interface EngineStream {
  readonly request: EngineRequest;
  readonly audit: RequestAudit;
  /** Position in the order of admission; the last one admitted is evicted first. */
  admissionIndex: number;
  cachedTokens: number;
  /** Prompt tokens still to be prefilled; generated ones as well after an eviction. */
  remainingPrefillTokens: number;
  /** Tokens generated before the current decode began. */
  generatedBeforeDecode: number;
  /** Generated tokens that were in memory when the current decode began. */
  memoryTokensBeforeDecode: number;
  /** Iteration in which the stream began to decode. */
  decodeStart: number;
  /** Iteration at whose end the last token is out. */
  decodeEnd: number;
  notifiedTokens: number;
  state: 'waiting' | 'prefilling' | 'decoding' | 'ended';
}

/** A set of prompt prefixes in limited memory, least recently used out first. */
export interface PrefixCache {
  /** Leading blocks of `hashes` that are in the cache; marks them as used. */
  match(hashes: readonly string[]): number;
  /** Adds every block and returns what entered and what left. */
  insert(hashes: readonly string[]): PrefixCacheChange;
  /** Empties the cache and returns what left. */
  clear(): readonly string[];
}

export interface PrefixCacheChange {
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

/** Gives out changes of the prefix cache late and with gaps. */
export interface CacheEventLog {
  record(change: PrefixCacheChange): void;
  getEventsAfter(sequence: number): readonly CacheEvent[];
}

/** Gives out load reports that lag. */
export interface LoadHistory {
  record(load: Omit<EngineLoad, 'reportedAgo'>): void;
  getNewestVisible(): EngineLoad;
}

/** How warm an engine is. */
export interface WarmUpModel {
  /** Adds time with work in hand. */
  advance(span: Milliseconds): void;
  isWarm(): boolean;
  /** Speed with `streams` in hand, as a share of the warm speed. */
  getSpeedShare(streams: number): number;
  /** Whether an engine that was given `streams` falls over. */
  crashesUnder(streams: number): boolean;
  reset(): void;
}

/** Place of a stream in the order of ends; void once the stream's own `decodeEnd` differs. */
export interface DecodingEntry {
  readonly stream: EngineStream;
  readonly endIteration: number;
}

/** Everything that changes in an engine as time passes. */
export interface EngineState {
  readonly hardware: EngineHardware;
  readonly warmUp: WarmUpModel;
  readonly waiting: EngineStream[];
  readonly prefilling: EngineStream[];
  /** Streams that decode, the first to end in front; entries of streams that left are skipped. */
  readonly decoding: PriorityQueue<DecodingEntry>;
  decodingCount: number;
  /** Iterations run so far; fractions stand for an iteration under way. */
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
  /** Receives what entered and left the prefix cache. */
  onCacheChange(change: PrefixCacheChange): void;
  /** Called after each change of the batch. */
  onChange(): void;
}

/** The streams of an engine and the timer that moves them on. */
export interface EngineBatch {
  getRequests(): ReadonlySet<RequestId>;
  /** Streams that are not among `requests`. */
  countOthers(requests: ReadonlySet<RequestId>): number;
  add(request: EngineRequest, audit: RequestAudit): void;
  end(request: RequestId, kind: 'cancelled' | 'failed'): void;
  failAll(): void;
  /** Brings the batch up to date and plans its next change; called after a change of speed. */
  update(): void;
  stop(): void;
}

/** What an engine is, beside what it has in hand. */
export interface EngineStatus {
  incarnation: string;
  version: VersionId;
  ready: boolean;
  leaving: boolean;
  /** Requests that are still to be refused by an injected failure. */
  remainingInjectedFailures: number;
}
