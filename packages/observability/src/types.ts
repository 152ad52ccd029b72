/** Types of logs, metrics and the recent decisions that an operator can query. */
import type {
  BackendServerId,
  Clock,
  CustomerId,
  FailureDomainId,
  Milliseconds,
  PoolId,
  RequestId,
  TierRank,
  VersionId,
} from '@rattanreel/core';

/** Reason why a backend server was not chosen. */
export interface SkippedBackendServer {
  readonly backendServer: BackendServerId;
  readonly reason: string;
}

/** Decision about one request. Contains no secret and no prompt text. */
export interface RoutingDecision {
  readonly kind: 'routing';
  readonly request: RequestId;
  readonly decision: 'granted' | 'refused' | 'spilledOver' | 'dispatched' | 'resumed' | 'ended';
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  readonly tier?: TierRank;
  readonly customer?: CustomerId;
  readonly backendServer?: BackendServerId;
  readonly version?: VersionId;
  readonly reason?: string;
  readonly queuedFor?: Milliseconds;
  readonly retryAfter?: Milliseconds;
  readonly alternatives?: readonly SkippedBackendServer[];
  readonly detail?: string;
}

/** Decision about what a backend server loads, a version's share or a backend server's standing. */
export interface PlacementDecision {
  readonly kind: 'placement';
  readonly decision: string;
  readonly pool?: PoolId;
  readonly failureDomain: FailureDomainId;
  readonly backendServer?: BackendServerId;
  readonly version?: VersionId;
  readonly reason?: string;
  readonly alternatives?: readonly SkippedBackendServer[];
}

export type Decision = RoutingDecision | PlacementDecision;

/** Decision with the wall-clock time at which it was made. */
export interface RecordedDecision {
  readonly at: string;
  readonly decision: Decision;
}

/** Writes a log line for each decision and keeps the latest for queries. */
export interface DecisionLog {
  record(decision: Decision): void;
  /** Returns the decisions kept for one request, oldest first. */
  decisionsOf(request: RequestId): readonly RecordedDecision[];
  /** Returns the latest decisions, newest first. */
  recent(limit: number): readonly RecordedDecision[];
}

/** Subset of a logger that the libraries use. */
export interface Logger {
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}

/** Where an exception was caught that no part of the host expected. */
export type ErrorOrigin =
  /** While it handled what a peer had sent. */
  | 'message'
  | 'question'
  | 'task'
  | 'progress'
  /** While it handled the request of a caller. */
  | 'request'
  | 'uncaughtException'
  | 'unhandledRejection';

/** Logs and counts an exception after which the host goes on. */
export type ErrorRecorder = (origin: ErrorOrigin, error: unknown) => void;

export interface ErrorRecorderOptions {
  readonly logger: Pick<Logger, 'error'>;
  readonly countError: (origin: ErrorOrigin) => void;
}

/** Outcome of a request, for the metrics. */
export interface EndedRequest {
  readonly tier: string;
  readonly pool: PoolId;
  readonly outcome: 'answered' | 'refused' | 'rejected' | 'mayHaveRun' | 'partlyRun' | 'callerGone';
  readonly duration: Milliseconds;
  readonly firstTokenAfter: Milliseconds | undefined;
  readonly outputTokens: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** Gauge whose values are read at each scrape. */
export interface Gauge {
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly string[];
  readonly read: () => readonly GaugeReading[];
}

export interface GaugeReading {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

export interface Metrics {
  requestEnded(ended: EndedRequest): void;
  decisionTaken(decision: Decision): void;
  invariantViolated(code: string): void;
  /** Counts an exception that no part of the host expected, by where it was caught. */
  countError(origin: ErrorOrigin): void;
  /** Counts a failed attempt to listen at an endpoint, or to accept a connection there. */
  countListenFailure(endpoint: string, operation: 'listen' | 'accept'): void;
  addGauge(gauge: Gauge): void;
  /** Returns the text of a scrape and its media type. */
  scrape(): Promise<{ readonly contentType: string; readonly body: string }>;
}

export interface DecisionLogOptions {
  readonly logger: Logger;
  readonly clock: Clock;
  readonly metrics?: Metrics;
  /** Number of decisions kept for queries. */
  readonly capacity?: number;
}

/** Where lines of a log are written; it never blocks the process, and none of its functions throws. */
export interface LogDestination {
  /** Buffers a line that ends with a line feed; returns false if it was dropped. */
  write(line: string): boolean;
  /** Returns how many lines were dropped since the last call. */
  takeDropped(): number;
  /** Writes the buffered lines before the process ends, as far as the reader takes them in time. */
  flush(): void;
}

export interface LogDestinationOptions {
  /** Bytes buffered at most. */
  readonly maximumBytes?: number;
  /** Bytes that are written at once; fewer wait for `interval`. */
  readonly minimumBytes?: number;
  readonly interval?: Milliseconds;
  readonly retryInterval?: Milliseconds;
  readonly flushTimeout?: Milliseconds;
}

/** Logger with a bounded volume that never blocks the process on a slow reader. */
export interface BoundedLogger extends Logger {
  /** Writes the buffered lines, before the process ends. */
  flush(): void;
}

export interface BoundedLoggerOptions {
  readonly clock: Clock;
  /** Fields that every line contains. */
  readonly bindings: object;
  /** Lines per second of one message. */
  readonly linesPerSecond?: number;
}
