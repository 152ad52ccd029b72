/** Types of the administration API: what it needs from an entry host, and what it answers. */
import type {
  AdministratorSettings,
  AppliedChange,
  ChangeError,
  DeploymentSettings,
  DrainTarget,
  PropagationSummary,
  SettingsChange,
} from '@rattanreel/configuration';
import type {
  EntryHostId,
  FailureDomainId,
  Generation,
  Incarnation,
  Milliseconds,
  Outcome,
  PoolId,
  RequestId,
  VersionId,
} from '@rattanreel/core';
import type { MovePlanError, MoveRecord } from '@rattanreel/moves';
import type { RecordedDecision } from '@rattanreel/observability';
import type { StoreError } from '@rattanreel/platform';
import type { PoolSummary } from '@rattanreel/scheduling';

/** The active settings of the entry host that answers. */
export interface SettingsInForce {
  readonly generation: Generation;
  readonly settings: DeploymentSettings;
}

export interface HostStatus {
  readonly id: EntryHostId;
  readonly failureDomain: FailureDomainId;
  readonly incarnation: Incarnation | undefined;
  readonly state: 'alive' | 'suspected' | 'leaving' | 'notSeen';
  readonly drained: boolean;
}

export interface DomainStatus {
  readonly id: FailureDomainId;
  readonly region: string;
  readonly drained: boolean;
  readonly hostsAlive: number;
  /** Age of the last report from the domain; undefined when there was none. */
  readonly age: Milliseconds | undefined;
}

/** A pool as the scheduler on the answering host sees it. */
export interface ScheduledPoolStatus {
  readonly pool: PoolId;
  readonly failureDomain: FailureDomainId;
  readonly summary: PoolSummary;
}

export interface DeploymentStatus {
  readonly deployment: string;
  readonly answeredBy: EntryHostId;
  readonly configuration: PropagationSummary;
  readonly localDrains: readonly DrainTarget[];
  readonly failureDomains: readonly DomainStatus[];
  readonly hosts: readonly HostStatus[];
  readonly pools: readonly ScheduledPoolStatus[];
  readonly moves: readonly MoveStatus[];
}

export interface MoveStatus {
  readonly record: MoveRecord;
  /** Share of the new version in the current step, between 0 and 1. */
  readonly share: number;
}

/** An operator's request to start a move. */
export interface MoveRequest {
  readonly pool: PoolId;
  readonly to: VersionId;
  /** Wall time, milliseconds since 1970. */
  readonly deadline: number;
  readonly bakeTime: Milliseconds;
  /** Rate of the pool over all failure domains; a low rate needs a larger first share. */
  readonly requestsPerSecond?: number;
}

/** The reason why a move was not started or not cancelled. */
export type MoveError =
  | MovePlanError
  | { readonly kind: 'unknownPool' }
  | { readonly kind: 'unknownVersion' }
  | { readonly kind: 'moveUnderWay' }
  | { readonly kind: 'noMove' }
  | { readonly kind: 'storeFailed'; readonly error: StoreError };

/** A recorded decision and the entry host that made it. */
export interface ExplainedDecision extends RecordedDecision {
  readonly entryHost: EntryHostId;
}

/** What the administration API needs from the entry host that serves it. */
export interface AdministrationServices {
  tryFindAdministrator(token: string): AdministratorSettings | undefined;
  tryGetSettings(): SettingsInForce | undefined;
  status(): DeploymentStatus;
  /**
   * Changes the settings. `basedOn` is the generation that the caller saw: if it is given and
   * another one is active, the change fails.
   */
  changeSettings(
    change: SettingsChange,
    author: string,
    changeId: string,
    basedOn: Generation | undefined,
  ): Promise<Outcome<AppliedChange, ChangeError>>;
  /** Drains at once in this failure domain; the drain is recorded once the store is available. */
  drainLocally(target: DrainTarget, author: string, changeId: string): void;
  startMove(request: MoveRequest): Promise<Outcome<MoveRecord, MoveError>>;
  cancelMove(pool: PoolId, operator: string): Promise<Outcome<MoveRecord, MoveError>>;
  /** Returns the decisions about a request from all entry hosts that answer, oldest first. */
  explain(request: RequestId): Promise<readonly ExplainedDecision[]>;
  getRecentDecisions(limit: number): readonly RecordedDecision[];
}

/** Context variables of a request that has been authenticated. */
export interface AdministrationVariables {
  administrator: AdministratorSettings;
}

export interface AdministrationEnvironment {
  Variables: AdministrationVariables;
}

/** A problem type of the administration API; `code` is the last part of its type URI. */
export interface AdministrationProblemType {
  readonly code: string;
  readonly status: 400 | 401 | 403 | 404 | 409 | 412 | 422 | 503 | 504;
  readonly title: string;
}

/** One page of a list that is sorted by the ids of its items. */
export interface Page<Item> {
  readonly items: readonly Item[];
  /** Value of `after` that returns the next page; undefined on the last page. */
  readonly next: string | undefined;
}
