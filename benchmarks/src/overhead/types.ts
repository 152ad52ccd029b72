/** Figures of the overhead benchmark, and the messages between its threads. */
import type { EntryHost } from '@rattanreel/entry-host';

/** Latency percentiles, in milliseconds. */
export interface LatencyFigures {
  readonly p50: number;
  readonly p99: number;
}

/** One timed request, in milliseconds. */
export interface TimedRequest {
  readonly firstToken: number;
  readonly total: number;
  readonly isComplete: boolean;
}

/** Where a request is sent: directly to the engine, or through the entry host. */
export interface Route {
  readonly name: 'direct' | 'throughEntryHost';
  readonly address: string;
  readonly authorization: string;
}

/** Requests that the callers' thread sends. */
export interface BatchOptions {
  readonly route: Route;
  /** Prefix that makes the requests' identifiers unique. */
  readonly label: string;
  readonly requests: number;
  readonly outputTokens: number;
  /** Rate of evenly spaced arrivals; without it, `callers` requests are kept in flight. */
  readonly requestsPerSecond?: number;
  readonly callers?: number;
}

export interface MeasuredBatch {
  readonly requests: readonly TimedRequest[];
  readonly elapsedMilliseconds: number;
}

/** A batch with the time that the entry host's thread was busy. */
export interface CostedBatch extends MeasuredBatch {
  readonly busyMilliseconds: number;
}

export interface StandInOptions {
  readonly seed: number;
  readonly memoryTokens: number;
  readonly maximumStreams: number;
}

export interface StandInAddresses {
  readonly platform: string;
  readonly engine: string;
}

/** One entry host on this thread; its stand-ins and its callers each have a thread of their own. */
export interface OverheadDeployment {
  readonly entryHost: EntryHost;
  readonly direct: Route;
  readonly throughEntryHost: Route;
  /** Runs a batch and measures the time that this thread was busy meanwhile. */
  measure(options: BatchOptions): Promise<CostedBatch>;
  stop(): Promise<void>;
}
