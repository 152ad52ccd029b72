/** Types of the thin model of the product's entry hosts around the real scheduler. */
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
  /** Whose scheduler is asked. */
  failureDomain: FailureDomainId;
  timer: Timer | undefined;
  attempts: number;
}

/** A request that holds a grant. */
export interface GrantedRequest {
  readonly queued: QueuedRequest;
  readonly grant: Grant;
  /** Whose scheduler granted it. */
  readonly failureDomain: FailureDomainId;
  readonly dispatchedAt: Milliseconds;
  firstTokenAfter: Milliseconds | undefined;
  cachedTokens: number;
}

/** The grants of one entry host. */
export interface HostAgent {
  arrive(task: RequestTask): void;
  cancelForCaller(task: RequestTask): void;
  receive(pool: PoolName, failureDomain: FailureDomainId, message: SchedulerReply): void;
  /** The scheduler of a pool is another one: it is told what is in hand and asked again. */
  handleSchedulerChange(pool: PoolName, failureDomain: FailureDomainId): void;
  /** A failure domain has nobody left: what was asked there is asked at home. */
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
  summary(): PoolSummary;
  close(): void;
}

/** What a failure domain last said of its room. */
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

/** Entry hosts seen alive; lags behind the truth by the time of detection. */
export interface MembershipModel {
  getAliveIn(failureDomain: FailureDomainId): readonly EntryHostIncarnation[];
  getAll(): readonly EntryHostIncarnation[];
}
