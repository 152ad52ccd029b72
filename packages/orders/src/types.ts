/** Types of claims and tickets, which ensure that a non-idempotent request runs at most once. */
import type {
  Clock,
  EntryHostId,
  Incarnation,
  Milliseconds,
  Outcome,
  Random,
} from '@rattanreel/core';
import type { ObjectStore } from '@rattanreel/platform';

/** What is known of a request's execution. */
export type Execution = 'not-run' | 'may-have-run' | 'partly-run' | 'ran';

/** The complete answer of a plain service, kept so that a retry receives the same answer. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** How an order ended, as recorded in its claim. */
export type OrderOutcome =
  | { readonly kind: 'answered'; readonly answer: RecordedAnswer }
  /** Given up before any dispatch; never dispatched under this claim. */
  | { readonly kind: 'notRun'; readonly retryAfter?: Milliseconds }
  | { readonly kind: 'mayHaveRun' };

/** A claim object in the store; its name is a hash of customer and key. */
export interface ClaimRecord {
  readonly claimant: EntryHostId;
  readonly incarnation: Incarnation;
  /** Distinguishes this attempt to claim from every other. */
  readonly nonce: string;
  /** SHA-256 of method, path and body: a key reused for another request is refused. */
  readonly requestDigest: string;
  readonly outcome: OrderOutcome | undefined;
  /** ISO 8601 wall time after which the claim may be removed. */
  readonly expiresAt: string;
}

/** Why an order was not run, or why its execution is in doubt. */
export type OrderError =
  | { readonly kind: 'keyReusedForAnotherRequest'; readonly execution: 'not-run' }
  | {
      /**
       * The claim could not be written, so this host did not dispatch the order. `may-have-run` when it is unknown
       * whether an earlier request under the same key ran. Orders with a ticket or without a key still work.
       */
      readonly kind: 'storeUnavailable';
      readonly execution: 'not-run' | 'may-have-run';
      readonly retryAfter: Milliseconds;
    }
  | { readonly kind: 'refused'; readonly execution: 'not-run'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'claimantGone'; readonly execution: 'may-have-run' }
  | { readonly kind: 'ticketUnknown'; readonly execution: 'not-run' }
  | { readonly kind: 'ticketHolderGone'; readonly execution: 'may-have-run' }
  | {
      readonly kind: 'dispatchInDoubt';
      readonly execution: 'may-have-run';
      /** Set when a later retry may find out more. */
      readonly reason?: 'ownerUnreachable' | 'stillRunning';
      readonly retryAfter?: Milliseconds;
    };

export type OrderResult = Outcome<RecordedAnswer, OrderError>;

/** One order as the entry host received it. */
export interface OrderRequest {
  readonly customer: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly key: OrderKey;
}

export type OrderKey =
  | { readonly kind: 'none' }
  | { readonly kind: 'ticket'; readonly ticket: string }
  | { readonly kind: 'callerKey'; readonly key: string };

/**
 * Runs the order at a backend server at most once. Called at most once for each order that this
 * incarnation owns. Returns `notRun` only when no byte was written.
 */
export type DispatchOrder = (order: OrderRequest) => Promise<OrderOutcome>;

/** The incarnation that claimed an order or issued its ticket. */
export interface OrderOwner {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  /** Nonce of the claim in question, to be passed to the owner's `answerPeer`. */
  readonly nonce?: string;
}

/**
 * Asks another entry host about an order that it claimed or for which it issued the ticket. The
 * order and the nonce are passed to `answerPeer` there. Bounded in time.
 */
export type AskOwner = (owner: OrderOwner, order: OrderRequest) => Promise<OwnerAnswer>;

export type OwnerAnswer =
  | { readonly kind: 'result'; readonly result: OrderResult }
  /**
   * The owner did not dispatch under these nonces and never will, so a claim with one of them may be taken over.
   * When asked without a nonce, the owner also neither claims nor dispatches the order for `DENIAL_HOLD` from now.
   */
  | { readonly kind: 'givenUp'; readonly nonces: readonly string[] }
  /** The owner does not know the order. `hasForgotten`: it has evicted ended orders, possibly this one. */
  | { readonly kind: 'unknown'; readonly hasForgotten: boolean }
  /** That incarnation is known to have ended. */
  | { readonly kind: 'gone' }
  /** The owner cannot be reached, so nothing is known. */
  | { readonly kind: 'unreachable' };

/** The other incarnations that may know an order, used when the store is unavailable. */
export interface PeerView {
  readonly peers: readonly OrderOwner[];
  /** False when an incarnation that ended, or that is unknown to this host, may have run orders whose claims remain. */
  readonly isComplete: boolean;
}

/** Limits of the ended orders that one incarnation keeps in memory. */
export interface OrderCacheLimits {
  readonly entries: number;
  /** Bytes of recorded answers. */
  readonly bytes: number;
}

/** A decision of the order executor, for the decision log. */
export interface OrderDecision {
  readonly kind:
    | 'dispatched'
    | 'joined'
    | 'answeredFromMemory'
    | 'answeredFromClaim'
    | 'askedOwner'
    | 'tookOver'
    | 'gaveUp'
    | 'surveyed';
  /** Name of the claim, or identifier of the ticket. */
  readonly order: string;
}

export interface OrderExecutorOptions {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Generates nonces and the ticket secret; must not repeat across hosts. */
  readonly random: Random;
  readonly dispatch: DispatchOrder;
  readonly askOwner: AskOwner;
  /** Without it a keyed order is `may-have-run` whenever the store is unavailable. */
  readonly listPeers?: () => PeerView;
  /** How long a claim and its recorded answer are kept in the store. */
  readonly retention?: Milliseconds;
  /** Longest wait for the claim to be written. */
  readonly claimDeadline?: Milliseconds;
  /** An order whose claim took longer than this, for example because the process was paused, is given up. */
  readonly dispatchWindow?: Milliseconds;
  /** Longest time that a peer's query waits for a running order to end. */
  readonly peerWait?: Milliseconds;
  readonly cacheLimits?: Partial<OrderCacheLimits>;
  readonly onDecision?: (decision: OrderDecision) => void;
}

/** State of an order in this incarnation. It only moves forward; `dispatching` is set before the first byte. */
export type OrderState =
  | { readonly kind: 'unclaimed' }
  | { readonly kind: 'claimed' }
  | { readonly kind: 'dispatching' }
  | { readonly kind: 'ended'; readonly outcome: OrderOutcome };

export type OrderStateMessage =
  | { readonly kind: 'claimWritten' }
  /** Forbids the dispatch unless it has begun. */
  | { readonly kind: 'giveUp' }
  | { readonly kind: 'dispatchStarted' }
  | { readonly kind: 'dispatchEnded'; readonly outcome: OrderOutcome }
  /** The order ended under another incarnation's claim. */
  | { readonly kind: 'outcomeLearned'; readonly outcome: OrderOutcome };

/** What one incarnation knows of one order. */
export interface OrderEntry {
  /** Name of the claim, or identifier of the ticket. */
  readonly name: string;
  readonly requestDigest: string;
  /** Nonce of the current attempt. */
  nonce: string;
  /** Nonces of attempts under which nothing is ever dispatched. */
  readonly givenUpNonces: string[];
  /** Given-up nonces whose claims a peer has been allowed to take over. */
  readonly releasedNonces: string[];
  state: OrderState;
  /** Result of the current attempt. */
  result: Promise<OrderResult>;
}

/** The next action after a claim was found in the store. */
export type ClaimDecision =
  | { readonly kind: 'finish'; readonly result: OrderResult; readonly outcome?: OrderOutcome }
  | { readonly kind: 'takeOver'; readonly version: number }
  | { readonly kind: 'askOwner'; readonly owner: OrderOwner }
  /** The claim may have changed since it was read; `otherwise` is the result if it has not. */
  | { readonly kind: 'readAgain'; readonly otherwise: OrderResult };

/** The orders of one incarnation of an entry host. */
export interface OrderExecutor {
  /** Returns a ticket that names this incarnation; only this incarnation may dispatch its order. */
  issueTicket(customer: string): string;
  /** Runs an order, or finds out how it ended. */
  submit(order: OrderRequest): Promise<OrderResult>;
  /** Answers another entry host's query about an order owned here. */
  answerPeer(order: OrderRequest, nonce?: string): Promise<OwnerAnswer>;
}

/** An order executor that records outcomes in the background. */
export interface RecordingOrderExecutor extends OrderExecutor {
  /** Waits up to `deadline` until the outcomes of ended orders are recorded; for a graceful shutdown. */
  flush(deadline: Milliseconds): Promise<void>;
}

/** An attempt that is about to begin. */
export interface NewAttempt {
  readonly name: string;
  readonly requestDigest: string;
  readonly nonce: string;
  /** Produces the result; called once. */
  readonly run: (entry: OrderEntry) => Promise<OrderResult>;
}

/** The attempts of one incarnation to run orders. */
export interface AttemptRegistry {
  tryGet(name: string): OrderEntry | undefined;
  hasForgotten(): boolean;
  /** Returns the result of an order known here; undefined when a new attempt may run it. */
  tryJoin(name: string, requestDigest: string): Promise<OrderResult> | undefined;
  /** Begins an attempt for an order that has no running attempt. */
  begin(attempt: NewAttempt): Promise<OrderResult>;
  advance(entry: OrderEntry, message: OrderStateMessage): void;
  /** Dispatches a claimed order; no other code does. */
  dispatch(entry: OrderEntry, order: OrderRequest): Promise<OrderOutcome>;
  /** Dispatches an order that has no key, so that no retry can refer to it. */
  dispatchUnkeyed(order: OrderRequest): Promise<OrderOutcome>;
  /** Waits for a running order to end; false when it still runs after `maximumWait`. */
  waitForEnd(entry: OrderEntry, maximumWait: Milliseconds): Promise<boolean>;
}
