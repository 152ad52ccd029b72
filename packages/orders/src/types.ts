/** Claims and tickets: what keeps a non-idempotent request to one run. */
import type { EntryHostId, Incarnation, Milliseconds, Outcome } from '@rattanreel/core';

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
  | { readonly kind: 'notRun' }
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
      readonly kind: 'storeUnavailable';
      readonly execution: 'not-run';
      readonly retryAfter: Milliseconds;
    }
  | { readonly kind: 'refused'; readonly execution: 'not-run'; readonly retryAfter: Milliseconds }
  | { readonly kind: 'claimantGone'; readonly execution: 'may-have-run' }
  | { readonly kind: 'ticketUnknown'; readonly execution: 'not-run' }
  | { readonly kind: 'ticketHolderGone'; readonly execution: 'may-have-run' }
  | { readonly kind: 'dispatchInDoubt'; readonly execution: 'may-have-run' };

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

/** Asks another entry host about an order that it claimed or issued the ticket of. */
export type AskOwner = (
  owner: { readonly entryHost: EntryHostId; readonly incarnation: Incarnation },
  order: OrderRequest,
) => Promise<OwnerAnswer>;

export type OwnerAnswer =
  | { readonly kind: 'result'; readonly result: OrderResult }
  /** That incarnation is known to have ended. */
  | { readonly kind: 'gone' }
  /** It cannot be reached; nothing is known. */
  | { readonly kind: 'unreachable' };

/** The orders of one incarnation of an entry host. */
export interface OrderDesk {
  /** A key that names this incarnation; only it may dispatch the order. */
  issueTicket(customer: string): string;
  /** Runs an order, or finds how it ended. */
  submit(order: OrderRequest): Promise<OrderResult>;
  /** Answers another entry host that asks about an order owned here. */
  answerPeer(order: OrderRequest): Promise<OwnerAnswer>;
}
