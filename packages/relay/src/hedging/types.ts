/** Types of hedged requests: a second copy of a request whose first copy is slow. */
import type { BackendServerId, Milliseconds, PoolId } from '@rattanreel/core';
import type { SlotGrant } from '../admission/types';
import type { ResponseRelay } from '../front/types';
import type { Attempt } from '../servers/types';
import type { AttemptFigures, AttemptOutcome, AbortReason, Route } from '../types';

/** Why no hedge was sent although its delay had passed. */
export type HedgeSkipReason =
  /** The route allows no further attempt. */
  | 'noAttemptLeft'
  /** The hedge is not expected to answer within the caller's deadline. */
  | 'tooLate'
  /** Hosts are finding out whether requests crash servers, or whether a version is bad. */
  | 'investigating'
  /** The operators' limit on extra work is used up. */
  | 'overLimit'
  /** The retry budget that all hosts share is used up. */
  | 'retryBudgetSpent'
  /** The servers are near saturation, or requests wait for a slot. */
  | 'noSpareCapacity';

export type HedgeDecision =
  { readonly kind: 'send' } | { readonly kind: 'skip'; readonly reason: HedgeSkipReason };

/** Requests whose times to first data are compared with each other. */
export interface HedgeClass {
  readonly pool: PoolId;
  readonly kind: Route['kind'];
  readonly promptTokens: number;
}

/** What a decision on one hedge is based on. */
export interface HedgeInputs {
  readonly hasAttemptsLeft: boolean;
  readonly timeLeft: Milliseconds;
  /** The delay after which the hedge is considered, which is also the usual time to first data. */
  readonly delay: Milliseconds;
  readonly isInvestigating: boolean;
  /** Takes one hedge from the operators' limit. */
  readonly trySpendHedge: () => boolean;
}

/** The limit on hedges at one host. */
export interface HedgeBudget {
  /** Records a caller's request, which earns a part of a hedge. */
  recordRequest(): void;
  trySpend(): boolean;
  /** Returns what was taken for a hedge that was not sent. */
  refund(): void;
}

/** The recent times to first data, by class of request. */
export interface HedgeDelays {
  record(hedgeClass: HedgeClass, timeToFirstData: Milliseconds): void;
  /** Returns the delay after which a copy is slower than nearly all; undefined while unknown. */
  tryGet(hedgeClass: HedgeClass): Milliseconds | undefined;
}

export type HedgeResult = 'sent' | 'won' | 'lost' | HedgeSkipReason;

/** Hedging at one host, for all of its requests. */
export interface Hedging {
  /** Whether the settings allow any hedge. */
  readonly isEnabled: boolean;
  readonly budget: HedgeBudget;
  readonly delays: HedgeDelays;
  isInvestigating(): boolean;
  count(result: HedgeResult): void;
  observeDelay(delay: Milliseconds): void;
}

/** The end of one copy of a request. */
export interface CopyEnd {
  readonly server: BackendServerId;
  readonly figures: AttemptFigures;
}

/** A copy that has ended and decides about the request. */
export interface FinalCopy extends CopyEnd {
  /** Passes what was held of its response on to the caller. */
  readonly open: () => void;
}

/** Sends one copy. */
export type StartCopy = (copy: {
  readonly grant: SlotGrant;
  readonly response: ResponseRelay;
  readonly onData: () => void;
  readonly onEnd: (figures: AttemptFigures) => void;
}) => Attempt;

/** The servers to which a request was sent. */
export interface CopyHistory {
  readonly triedServers: ReadonlySet<BackendServerId>;
  end(outcome: AttemptOutcome): void;
  getRemaining(): { readonly hasAttemptsLeft: boolean };
}

/** The copies of one request that are in flight; the first complete response wins. */
export interface AttemptRace {
  start(grant: SlotGrant): void;
  abort(reason: AbortReason): void;
  resume(): void;
  isRunning(): boolean;
  /** Whether any copy has received data. */
  hasData(): boolean;
}
