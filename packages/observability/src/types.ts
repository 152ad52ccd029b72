/** Log lines, metrics and the recent decisions that an operator can ask for. */
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

/** Why one backend server was passed over. */
export interface SkippedBackendServer {
  readonly backendServer: BackendServerId;
  readonly reason: string;
}

/** One decision about one request. Holds no secret and no prompt text. */
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

/** One decision about what a backend server loads, a version's share or a backend server's standing. */
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

/** A decision with the wall time at which it was taken. */
export interface RecordedDecision {
  readonly at: string;
  readonly decision: Decision;
}

/** Writes a log line for each decision and keeps the latest for questions. */
export interface DecisionLog {
  record(decision: Decision): void;
  /** The decisions kept of one request, oldest first. */
  decisionsOf(request: RequestId): readonly RecordedDecision[];
  /** The latest decisions, newest first. */
  recent(limit: number): readonly RecordedDecision[];
}

/** The part of a logger that the libraries use. */
export interface Logger {
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}

/** How a request ended, for the metrics. */
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

/** A figure read at the time of a scrape. */
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
  addGauge(gauge: Gauge): void;
  /** The text of a scrape, and its media type. */
  scrape(): Promise<{ readonly contentType: string; readonly body: string }>;
}

export interface DecisionLogOptions {
  readonly logger: Logger;
  readonly clock: Clock;
  readonly metrics?: Metrics;
  /** Decisions kept for questions. */
  readonly capacity?: number;
}

/** A logger whose volume is bounded and whose reader cannot hold the process up. */
export interface BoundedLogger extends Logger {
  /** Writes what waits, before the process ends. */
  flush(): void;
}

export interface BoundedLoggerOptions {
  readonly clock: Clock;
  /** Fields of every line. */
  readonly bindings: object;
  /** Lines of one message a second. */
  readonly linesPerSecond?: number;
}
