/** Types of the simplified model of the product's entry hosts around the real scheduler. */
import type { FailureDomainId, Milliseconds, RequestId, Timer } from '@rattanreel/core';
import type {
  EntryHostIncarnation,
  Grant,
  PoolSummary,
  Refusal,
  SchedulerMessage,
  SpillOver,
} from '@rattanreel/scheduling';
import type { PoolName, RequestTask, SimulatedHost } from '../../types';

export type SchedulerReply = Grant | Refusal | SpillOver;

/** A request that waits for a grant. */
export interface QueuedRequest {
  readonly task: RequestTask;
  /** Failure domain whose scheduler is asked for a grant. */
  failureDomain: FailureDomainId;
  timer: Timer | undefined;
  attempts: number;
}

/** A request that holds a grant. */
export interface GrantedRequest {
  readonly queued: QueuedRequest;
  readonly grant: Grant;
  /** Failure domain whose scheduler granted it. */
  readonly failureDomain: FailureDomainId;
  readonly dispatchedAt: Milliseconds;
  firstTokenAfter: Milliseconds | undefined;
  cachedTokens: number;
}

/** Requests and uses the grants of one entry host. */
export interface HostAgent {
  arrive(task: RequestTask): void;
  cancelForCaller(task: RequestTask): void;
  receive(pool: PoolName, failureDomain: FailureDomainId, message: SchedulerReply): void;
  /**
   * Reports the requests in flight to a pool's new scheduler and requests grants for the queued
   * ones.
   */
  handleSchedulerChange(pool: PoolName, failureDomain: FailureDomainId): void;
  /** Requests grants from the home domain for requests queued at a domain without members. */
  handleDomainLoss(failureDomain: FailureDomainId): void;
  hasGrant(request: RequestId): boolean;
  stop(): void;
}

/** One run of a pool's scheduler on one entry host. */
export interface SchedulerRunner {
  readonly host: SimulatedHost;
  readonly incarnation: string;
  readonly pool: PoolName;
  readonly failureDomain: FailureDomainId;
  handle(message: SchedulerMessage): void;
  getSummary(): PoolSummary;
  close(): void;
}

/** Last capacity summary of a pool in a failure domain. */
export interface PublishedSummary {
  readonly summary: PoolSummary;
  readonly publishedAt: Milliseconds;
}

export type SendToScheduler = (
  from: FailureDomainId,
  pool: PoolName,
  failureDomain: FailureDomainId,
  message: SchedulerMessage,
) => void;

/**
 * Entry hosts that heartbeats show as alive; lags behind the actual state by the detection time.
 */
export interface MembershipModel {
  getAliveIn(failureDomain: FailureDomainId): readonly EntryHostIncarnation[];
  getAll(): readonly EntryHostIncarnation[];
}
