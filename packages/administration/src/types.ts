/** The administration API: what it needs of an entry host, and what it answers. */
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

/** The settings in force at the entry host that answers. */
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
  /** How old the last word of it is; undefined when there was none. */
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
  /** Share of the new version in the step in force. */
  readonly share: number;
}

/** A move that an operator asks for. */
export interface MoveRequest {
  readonly pool: PoolId;
  readonly to: VersionId;
  /** Wall time, milliseconds since 1970. */
  readonly deadline: number;
  readonly bakeTime: Milliseconds;
  /** Requests a second of the pool over all failure domains; a quiet pool needs a larger first share. */
  readonly requestsPerSecond?: number;
}

/** Why a move was not started or cancelled. */
export type MoveError =
  | MovePlanError
  | { readonly kind: 'unknownPool' }
  | { readonly kind: 'unknownVersion' }
  | { readonly kind: 'moveUnderWay' }
  | { readonly kind: 'noMove' }
  | { readonly kind: 'storeFailed'; readonly error: StoreError };

/** One decision with the entry host that took it. */
export interface ExplainedDecision extends RecordedDecision {
  readonly entryHost: EntryHostId;
}

/** What the administration API needs of the entry host that serves it. */
export interface AdministrationServices {
  tryFindAdministrator(token: string): AdministratorSettings | undefined;
  tryGetSettings(): SettingsInForce | undefined;
  status(): DeploymentStatus;
  /** Changes the settings; `basedOn` is the generation that the caller saw. */
  changeSettings(
    change: SettingsChange,
    author: string,
    changeId: string,
    basedOn: Generation | undefined,
  ): Promise<Outcome<AppliedChange, ChangeError>>;
  /** Drains at once in this failure domain, and records it when the store is back. */
  drainLocally(target: DrainTarget, author: string, changeId: string): void;
  startMove(request: MoveRequest): Promise<Outcome<MoveRecord, MoveError>>;
  cancelMove(pool: PoolId, operator: string): Promise<Outcome<MoveRecord, MoveError>>;
  /** Decisions about a request, from every entry host that can be asked, oldest first. */
  explain(request: RequestId): Promise<readonly ExplainedDecision[]>;
  recentDecisions(limit: number): readonly RecordedDecision[];
}

/** Values that a request carries once its token is known. */
export interface AdministrationVariables {
  administrator: AdministratorSettings;
}

export interface AdministrationEnvironment {
  Variables: AdministrationVariables;
}

/** A failure of the administration API; `code` is the last part of the problem's type URI. */
export interface AdministrationProblemType {
  readonly code: string;
  readonly status: 400 | 401 | 403 | 404 | 409 | 412 | 422 | 503 | 504;
  readonly title: string;
}

/** One page of a list in order of its items' ids. */
export interface Page<Item> {
  readonly items: readonly Item[];
  /** To be given as `after` for the next page; undefined on the last one. */
  readonly next: string | undefined;
}
