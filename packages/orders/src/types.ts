/** Claims and tickets: what keeps a non-idempotent request to one run. */
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

/** A whole answer of a plain service, kept so that a retry gets it again. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** How an order ended, as recorded with its claim. */
export type OrderOutcome =
  | { readonly kind: 'answered'; readonly answer: RecordedAnswer }
  /** Given up before any dispatch, and never to be dispatched under this claim. */
  | { readonly kind: 'notRun'; readonly retryAfter?: Milliseconds }
  | { readonly kind: 'mayHaveRun' };

/** The claim object in the store; its name is a hash of customer and key. */
export interface ClaimRecord {
  readonly claimant: EntryHostId;
  readonly incarnation: Incarnation;
  /** Tells this attempt to claim from every other. */
  readonly nonce: string;
  /** SHA-256 of method, path and body: a key reused for another request is refused. */
  readonly requestDigest: string;
  readonly outcome: OrderOutcome | undefined;
  /** ISO 8601 wall time after which the claim may be removed. */
  readonly expiresAt: string;
}

/** Why an order was not run or its execution is in doubt. */
export type OrderError =
  | { readonly kind: 'keyReusedForAnotherRequest'; readonly execution: 'not-run' }
  | {
      /**
       * The claim could not be written, so this host did not dispatch the order. `may-have-run` when it cannot be
       * told whether an earlier request under the same key ran. A ticket, or no key, works meanwhile.
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
      /** Set when a later retry may learn more. */
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
 * Runs the order at a backend server at most once. Called once at most for each order that this
 * incarnation owns; `notRun` is returned only when no byte was written.
 */
export type DispatchOrder = (order: OrderRequest) => Promise<OrderOutcome>;

/** The incarnation that claimed an order or issued its ticket. */
export interface OrderOwner {
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  /** Nonce of the claim that is asked about; to be handed on to the owner's `answerPeer`. */
  readonly nonce?: string;
}

/**
 * Asks another entry host about an order that it claimed or issued the ticket of. The order and
 * the nonce are handed on to `answerPeer` there. Bounded in time.
 */
export type AskOwner = (owner: OrderOwner, order: OrderRequest) => Promise<OwnerAnswer>;

export type OwnerAnswer =
  | { readonly kind: 'result'; readonly result: OrderResult }
  /**
   * The owner did not dispatch under these nonces and never will; a claim with one may be taken over. Asked without
   * a nonce, the owner also holds the order back for `DENIAL_HOLD` from now on.
   */
  | { readonly kind: 'givenUp'; readonly nonces: readonly string[] }
  /** The owner does not know the order. `hasForgotten`: it may have known it once. */
  | { readonly kind: 'unknown'; readonly hasForgotten: boolean }
  /** That incarnation is known to have ended. */
  | { readonly kind: 'gone' }
  /** It cannot be reached; nothing is known. */
  | { readonly kind: 'unreachable' };

/** The other incarnations that may know an order, for when the store cannot be asked. */
export interface PeerView {
  readonly peers: readonly OrderOwner[];
  /** False when an incarnation that ended, or that this host never heard of, may have run orders whose claims still stand. */
  readonly isComplete: boolean;
}

/** How many ended orders one incarnation remembers. */
export interface OrderCacheLimits {
  readonly entries: number;
  /** Bytes of recorded answers. */
  readonly bytes: number;
}

/** What the order desk decided, for the decision log. */
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
  /** Makes nonces and the ticket secret: must not repeat across hosts. */
  readonly random: Random;
  readonly dispatch: DispatchOrder;
  readonly askOwner: AskOwner;
  /** Without it a keyed order is `may-have-run` whenever the store cannot be asked. */
  readonly listPeers?: () => PeerView;
  /** How long a claim and its answer are kept in the store. */
  readonly retention?: Milliseconds;
  /** Longest time for the claim to be written. */
  readonly claimDeadline?: Milliseconds;
  /** An order whose claim took longer than this, as in a paused process, is given up. */
  readonly dispatchWindow?: Milliseconds;
  /** Longest time that a peer's question waits for an order that is running. */
  readonly peerWait?: Milliseconds;
  readonly cacheLimits?: Partial<OrderCacheLimits>;
  readonly onDecision?: (decision: OrderDecision) => void;
}

/** How far an order has come here. It passes one way, and `dispatching` is set before the first byte. */
export type OrderState =
  | { readonly kind: 'unclaimed' }
  | { readonly kind: 'claimed' }
  | { readonly kind: 'dispatching' }
  | { readonly kind: 'ended'; readonly outcome: OrderOutcome };

export type OrderStateMessage =
  | { readonly kind: 'claimWritten' }
  /** Forbids the dispatch, unless it has begun. */
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
  /** Nonce of the attempt at hand. */
  nonce: string;
  /** Nonces of attempts under which nothing will be dispatched. */
  readonly givenUpNonces: string[];
  /** Given-up nonces of which a peer was told that it may take their claim over. */
  readonly releasedNonces: string[];
  state: OrderState;
  /** Result of the attempt at hand. */
  result: Promise<OrderResult>;
}

/** What a claim found in the store asks for. */
export type ClaimDecision =
  | { readonly kind: 'finish'; readonly result: OrderResult; readonly outcome?: OrderOutcome }
  | { readonly kind: 'takeOver'; readonly version: number }
  | { readonly kind: 'askOwner'; readonly owner: OrderOwner }
  /** The claim's record may have changed since it was read. */
  | { readonly kind: 'readAgain'; readonly otherwise: OrderResult };

/** The orders of one incarnation of an entry host. */
export interface OrderExecutor {
  /** A key that names this incarnation; only it may dispatch the order. */
  issueTicket(customer: string): string;
  /** Runs an order, or finds how it ended. */
  submit(order: OrderRequest): Promise<OrderResult>;
  /** Answers another entry host that asks about an order owned here. */
  answerPeer(order: OrderRequest, nonce?: string): Promise<OwnerAnswer>;
}

/** An order desk that records outcomes in the background. */
export interface RecordingOrderExecutor extends OrderExecutor {
  /** Waits, for a bounded time, until the outcomes of ended orders are recorded; for a graceful shutdown. */
  flush(deadline: Milliseconds): Promise<void>;
}

/** An attempt about to begin. */
export interface NewAttempt {
  readonly name: string;
  readonly requestDigest: string;
  readonly nonce: string;
  /** Finds the result; called once. */
  readonly run: (entry: OrderEntry) => Promise<OrderResult>;
}

/** The attempts of one incarnation to run orders. */
export interface AttemptRegistry {
  tryGet(name: string): OrderEntry | undefined;
  hasForgotten(): boolean;
  /** The result of an order known here; undefined when a new attempt may run it. */
  tryJoin(name: string, requestDigest: string): Promise<OrderResult> | undefined;
  /** Begins an attempt for an order that has none running. */
  begin(attempt: NewAttempt): Promise<OrderResult>;
  advance(entry: OrderEntry, message: OrderStateMessage): void;
  /** Dispatches a claimed order; the only place that does. */
  dispatch(entry: OrderEntry, order: OrderRequest): Promise<OrderOutcome>;
  /** Dispatches an order that nobody can ask for again. */
  dispatchUnkeyed(order: OrderRequest): Promise<OrderOutcome>;
  /** Waits for a running order to end; false when it still runs after `longest`. */
  waitForEnd(entry: OrderEntry, maximumWait: Milliseconds): Promise<boolean>;
}
