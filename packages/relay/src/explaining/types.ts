/** Types of the explanation of a routing decision. */
import type {
  BackendServerId,
  EntryHostId,
  FailureDomainId,
  Milliseconds,
  PoolId,
} from '@rattanreel/core';
import type { SchedulerView, SlotOutcome } from '../admission/types';
import type { PassedOverReason, SlotEligibility } from '../decisions/types';
import type { DecisionBasis, RequestPlan } from '../front/types';
import type { PoolState } from '../pools/types';
import type { PromptPartId, QuotaFigures, RefusalReason } from '../types';

/** A request that is asked about. */
export interface RequestQuery {
  readonly hostName: string;
  /** Path and query. */
  readonly target: string;
  readonly method?: string | undefined;
  readonly key?: string | undefined;
  /** Name of the customer, in place of a key. */
  readonly customer?: string | undefined;
  /** Time for which the caller waits; the route's timeout if absent. */
  readonly deadline?: Milliseconds | undefined;
  readonly promptTokens?: number | undefined;
  readonly outputTokens?: number | undefined;
  /** Parts of the prompt as ID:TOKENS, in order. */
  readonly promptParts?: readonly string[] | undefined;
  readonly body?: string | undefined;
}

/** A server as considered for a request. */
export interface ServerExplanation {
  readonly server: BackendServerId;
  readonly failureDomain: FailureDomainId;
  readonly version: string;
  readonly slots: number;
  /** Requests in flight of this host, and those of the others as last reported. */
  readonly own: number;
  readonly others: number;
  /** Time since the server's last load report; absent if it sent none. */
  readonly loadAge?: Milliseconds;
  readonly slowness: number;
  /** Slowdown to expect by the server's own report, and the age of that report. */
  readonly slowdown: number;
  readonly slowdownAge?: Milliseconds;
  readonly failureRate: number;
  readonly isInTime: boolean;
  /** Cost without its random term of 0 to 0.15. */
  readonly cost: number;
  /** Absent for the server that would be chosen. */
  readonly passedOver?: PassedOverReason;
}

/** What would become of the request at one of the pools that its route may select. */
export interface TargetExplanation {
  readonly pool: PoolId;
  /** Share of the route's requests that the pool gets. */
  readonly share: number;
  readonly outcome: TargetOutcome;
  /** Level and rate of the customer's quota; absent without one. */
  readonly quota?: QuotaFigures | undefined;
  readonly state?: PoolState | undefined;
  readonly eligibility?: SlotEligibility | undefined;
  /** Whether the objective can't be met, so that the request waits behind those that can. */
  readonly isLate: boolean;
  readonly servers: readonly ServerExplanation[];
}

export type TargetOutcome =
  | Exclude<SlotOutcome, { readonly kind: 'refused' }>
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      /** Time after which the caller may return, before its random part is known. */
      readonly retryAfter: Milliseconds;
    }
  /** Another host grants the slots, and decides. */
  | { readonly kind: 'scheduledElsewhere'; readonly scheduler: EntryHostId };

/** The request as this host understands it. */
export interface RequestSummary extends Pick<
  RequestPlan,
  'cost' | 'outputTokens' | 'promptTokens'
> {
  readonly route: string;
  readonly kind: string;
  readonly tier: number;
  readonly customer: string | undefined;
  readonly rank: number;
  readonly isReturning: boolean;
  readonly objective: Milliseconds;
  readonly timeLeft: Milliseconds;
  /** Parts of the prompt that other requests may share. */
  readonly promptParts: readonly PromptPartId[];
}

interface ExplanationHead {
  readonly host: EntryHostId;
  readonly failureDomain: FailureDomainId;
  readonly basis: DecisionBasis;
}

export type RequestExplanation = ExplanationHead &
  (
    | {
        readonly kind: 'rejected';
        readonly status: number;
        readonly code: string;
        readonly retryAfter?: Milliseconds | undefined;
      }
    | {
        readonly kind: 'planned';
        readonly request: RequestSummary;
        /** The host that grants this host's slots; absent if it does itself. */
        readonly scheduler?: SchedulerView | undefined;
        readonly targets: readonly TargetExplanation[];
      }
  );

/** Explains decisions about requests to operators, on the metrics' address. */
export interface OperatorAccess {
  /** Token that operators' calls carry. */
  readonly token: string;
  readonly explain: (query: RequestQuery) => RequestExplanation;
}
