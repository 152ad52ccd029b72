/** Types of open-loop load against a running system, and of its results as the callers see them. */
import type { CustomerId, Milliseconds } from '@rattanreel/core';

/** A customer on whose behalf load is sent. */
export interface LoadCustomer {
  readonly id: CustomerId;
  readonly apiKey: string;
  /** Tiers that its requests ask for, with equal probability. */
  readonly tiers: readonly string[];
  /** Share of the requests relative to the weights of the other customers. */
  readonly weight: number;
}

/** The service that takes orders. */
export interface OrderTarget {
  readonly service: string;
  readonly path: string;
}

export interface LoadOptions {
  readonly seed: number;
  readonly duration: Milliseconds;
  readonly requestsPerSecond: number;
  /** Base URLs of entry hosts. */
  readonly entryHosts: readonly string[];
  readonly customers: readonly LoadCustomer[];
  readonly models: readonly string[];
  readonly orders?: OrderTarget;
  /** Share of the requests that are orders. */
  readonly orderShare?: number;
  /** Share of the keyed orders that are sent to a second entry host as well. */
  readonly retriedShare?: number;
  readonly minimumPromptTokens?: number;
  /** Defaults to 100 times `minimumPromptTokens`. */
  readonly maximumPromptTokens?: number;
  readonly maximumOutputTokens?: number;
  /** Deadline of each request; when absent, the deadline of its tier applies. */
  readonly deadline?: Milliseconds;
  readonly onProgress?: (progress: LoadProgress) => void;
}

/** Progress of a run. */
export interface LoadProgress {
  readonly sent: number;
  readonly ended: number;
  readonly answeredWhole: number;
  readonly refusedNotRun: number;
}

export type OrderKeyKind = 'none' | 'callerKey' | 'ticket';

/** One planned request. */
export type PlannedRequest = PlannedChat | PlannedOrder;

interface PlannedBase {
  /** Time since the start of the run. */
  readonly at: Milliseconds;
  readonly entryHost: string;
  readonly customer: LoadCustomer;
  readonly tier: string;
}

export interface PlannedChat extends PlannedBase {
  readonly kind: 'chat';
  readonly model: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Requests of one topic share the beginning of their prompts. */
  readonly topic: number;
  readonly streamed: boolean;
}

export interface PlannedOrder extends PlannedBase {
  readonly kind: 'order';
  readonly reference: string;
  readonly key: OrderKeyKind;
  /** A second entry host that gets the same order after `retryDelay`; only for keyed orders. */
  readonly retryEntryHost: string | undefined;
  readonly retryDelay: Milliseconds;
}

/** How a request ended for its caller. */
export type CallerOutcome =
  | 'answeredWhole'
  | 'refusedNotRun'
  | 'mayHaveRun'
  | 'partlyRun'
  | 'rejected'
  /** The connection broke, or the answer was incomplete without reporting an error. */
  | 'cutShort';

/** One request as its caller observed it. */
export interface CallerRecord {
  readonly planned: PlannedRequest;
  readonly outcome: CallerOutcome;
  /** Identifier that the entry host gave the request. */
  readonly request: string | undefined;
  readonly status: number;
  readonly problem: string | undefined;
  readonly firstTokenAfter: Milliseconds | undefined;
  readonly duration: Milliseconds;
  readonly outputTokens: number;
  /** True when a finished answer does not match this request, as if it belonged to another one. */
  readonly crossed: boolean;
}

export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly maximum: number;
}

export interface TierSummary {
  readonly tier: string;
  readonly requests: number;
  readonly answeredWhole: number;
  readonly goodputShare: number;
  readonly firstTokenMilliseconds: Percentiles;
}

/** Aggregated results of a run. */
export interface LoadSummary {
  readonly seed: number;
  readonly requests: number;
  readonly outcomes: Readonly<Record<CallerOutcome, number>>;
  readonly crossedAnswers: number;
  readonly tiers: readonly TierSummary[];
  readonly durationMilliseconds: Percentiles;
}

/** A finished run. */
export interface LoadRun {
  readonly records: readonly CallerRecord[];
  readonly summary: LoadSummary;
}

/** One submission of an order; a retry goes to another entry host with the same key. */
export interface OrderSubmission {
  readonly planned: PlannedOrder;
  readonly target: OrderTarget;
  readonly entryHost: string;
  readonly ticket: string | undefined;
  readonly deadline: Milliseconds | undefined;
}

/** The outcome of a request according to a problem document. */
export interface ParsedProblem {
  readonly outcome: CallerOutcome;
  readonly problem: string;
  readonly request: string | undefined;
}
