/** The platform's object API as the rest of the system sees it. */
import type { Clock, Generation, Milliseconds, Outcome, Random } from '@rattanreel/core';

/** An object with the version that the store gave it at its last change. */
export interface StoredObject<Value = unknown> {
  readonly kind: string;
  readonly name: string;
  /** Grows with each change anywhere in the store. */
  readonly version: number;
  readonly value: Value;
}

/** Why a call to the store did not succeed. */
export type StoreError =
  /** The condition did not hold; `current` is what stands there now. */
  | { readonly kind: 'conflict'; readonly current: StoredObject | undefined }
  | { readonly kind: 'notFound' }
  /** The call certainly had no effect. */
  | { readonly kind: 'unavailable'; readonly retryAfterMilliseconds: Milliseconds }
  /** The call may have taken effect, or may still do so. */
  | { readonly kind: 'outcomeUnknown' }
  /** This process has used up its allowance of calls. */
  | { readonly kind: 'callBudgetSpent'; readonly retryAfterMilliseconds: Milliseconds }
  | { readonly kind: 'invalidAnswer'; readonly detail: string };

export interface ListedObjects<Value = unknown> {
  readonly items: readonly StoredObject<Value>[];
  /** Version of the store at which the list was true. */
  readonly version: number;
}

export type WatchEvent<Value = unknown> =
  | { readonly kind: 'changed'; readonly object: StoredObject<Value> }
  | { readonly kind: 'removed'; readonly name: string; readonly version: number }
  /** The whole of the watched objects, at the start and after each re-list. */
  | { readonly kind: 'listed'; readonly list: ListedObjects<Value> }
  /** The watch cannot tell what stands in the store; it goes on trying. */
  | { readonly kind: 'lost'; readonly error: StoreError };

export interface Watch {
  close(): void;
}

/** A client of the object API. Every wait in it is bounded. */
export interface ObjectStore {
  get<Value>(kind: string, name: string): Promise<Outcome<StoredObject<Value>, StoreError>>;
  list<Value>(kind: string, prefix?: string): Promise<Outcome<ListedObjects<Value>, StoreError>>;
  /** Fails with `conflict` when an object of that name exists. */
  create<Value>(
    kind: string,
    name: string,
    value: Value,
  ): Promise<Outcome<StoredObject<Value>, StoreError>>;
  /** Fails with `conflict` unless the object's version is `version`. */
  update<Value>(
    kind: string,
    name: string,
    value: Value,
    version: number,
  ): Promise<Outcome<StoredObject<Value>, StoreError>>;
  /** Fails with `conflict` unless the object's version is `version`. */
  remove(kind: string, name: string, version: number): Promise<Outcome<void, StoreError>>;
  /** Reports the objects of a kind and every change of them until closed. */
  watch<Value>(kind: string, listener: (event: WatchEvent<Value>) => void, prefix?: string): Watch;
  close(): Promise<void>;
}

/** A host as the platform's lagging list shows it. */
export interface ListedHost {
  readonly id: string;
  readonly state: 'live' | 'leaving';
  readonly address: string;
}

export type LeaseState =
  { readonly kind: 'notHeld' } | { readonly kind: 'held'; readonly generation: Generation };

/** A lease in the store. Its generation is the fencing number. */
export interface Lease {
  /** Checks the monotonic clock, so that a paused holder sees its own lapse. */
  state(): LeaseState;
  /** Gives the lease up and stops asking for it. */
  stop(): Promise<void>;
}

/** The object API with the platform's list of hosts beside it. */
export interface PlatformClient extends ObjectStore {
  /** The platform's list of hosts; it lags behind what is true. */
  listHosts(): Promise<Outcome<readonly ListedHost[], StoreError>>;
}

/** One call to the object API, as a transport carries it. */
export type StoreCall =
  | { readonly kind: 'get'; readonly objectKind: string; readonly name: string }
  | { readonly kind: 'list'; readonly objectKind: string; readonly prefix: string }
  | {
      readonly kind: 'create';
      readonly objectKind: string;
      readonly name: string;
      readonly value: unknown;
    }
  | {
      readonly kind: 'update';
      readonly objectKind: string;
      readonly name: string;
      readonly value: unknown;
      readonly version: number;
    }
  | {
      readonly kind: 'remove';
      readonly objectKind: string;
      readonly name: string;
      readonly version: number;
    }
  | { readonly kind: 'listHosts' };

/** What became of one call. */
export type StoreReply =
  | { readonly kind: 'object'; readonly object: StoredObject }
  | { readonly kind: 'list'; readonly list: ListedObjects }
  | { readonly kind: 'removed' }
  | { readonly kind: 'hosts'; readonly hosts: readonly ListedHost[] }
  | { readonly kind: 'notFound' }
  | { readonly kind: 'conflict'; readonly current: StoredObject | undefined }
  /** The store answered that it did not take the call, or no byte of the call was sent. */
  | {
      readonly kind: 'refused';
      readonly reason: 'rateLimited' | 'outage' | 'notSent';
      readonly retryAfter: Milliseconds;
    }
  /** No answer came; the call may have taken effect, or may still do so. */
  | { readonly kind: 'lost' }
  | { readonly kind: 'invalid'; readonly detail: string };

/** What a watch connection delivers. */
export type WatchLine =
  | { readonly kind: 'changed'; readonly object: StoredObject }
  | { readonly kind: 'removed'; readonly name: string; readonly version: number }
  /** Everything up to `version` has been delivered. */
  | { readonly kind: 'bookmark'; readonly version: number }
  /** The connection is over; `tooOld` asks for a new list. */
  | { readonly kind: 'ended'; readonly reason: 'tooOld' | 'refused' | 'broken' };

export interface WatchRequest {
  readonly objectKind: string;
  readonly prefix: string;
  /** Changes after this version are delivered. */
  readonly after: number;
}

/** Carries single calls to the object API. It never repeats a call by itself. */
export interface StoreTransport {
  /** Resolves within `timeout`, by the transport's clock. */
  call(call: StoreCall, timeout: Milliseconds): Promise<StoreReply>;
  /** Delivers lines until closed or ended. */
  openWatch(request: WatchRequest, listener: (line: WatchLine) => void): Watch;
  close(): Promise<void>;
}

/** How much of the object API one process may use. */
export interface CallBudget {
  /** Calls a second, watches counted when they are opened. */
  readonly callsPerSecond: number;
  /** Calls that may be made at once after a quiet time. */
  readonly burst: number;
}

export interface ObjectStoreOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly callBudget?: Partial<CallBudget>;
  /** Longest wait for the answer to one call. */
  readonly callTimeout?: Milliseconds;
  /** Longest time that a call and its repetitions take together. */
  readonly deadline?: Milliseconds;
  /** First pause before a repetition; doubled each time and jittered. */
  readonly backoff?: Milliseconds;
  /** A watch without a line for this long is taken as dead. */
  readonly watchSilenceTimeout?: Milliseconds;
  /** A watch is opened anew with a new list about this often. */
  readonly relistInterval?: Milliseconds;
  /** Longest pause between two tries to watch while the store is out of reach. */
  readonly maximumWatchBackoff?: Milliseconds;
}

/** What is known of a conditional write after its attempts. */
export type ConditionalWriteResult<Value = unknown> =
  | { readonly kind: 'written'; readonly object: StoredObject<Value> }
  /** Something else stands there. `wasInDoubt`: an attempt may have taken effect before it. */
  | {
      readonly kind: 'superseded';
      readonly current: StoredObject | undefined;
      readonly wasInDoubt: boolean;
    }
  /** No attempt took effect, and none will. */
  | { readonly kind: 'notWritten'; readonly error: StoreError }
  /** An attempt may have taken effect, or may still do so. */
  | { readonly kind: 'inDoubt' };

/** The lease object in the store. */
export interface LeaseRecord {
  readonly holder: string;
  /** Tells this write from every other. */
  readonly nonce: string;
  readonly generation: Generation;
  /** How long the holder may act after each renewal. */
  readonly duration: Milliseconds;
  readonly isReleased: boolean;
}

/** A version of the lease and when this process first saw it, by its own clock. */
export interface LeaseObservation {
  readonly object: StoredObject<LeaseRecord>;
  readonly since: Milliseconds;
}

/** What a candidate does next about a lease that it does not hold. */
export type LeaseStep =
  | { readonly kind: 'create'; readonly generation: Generation }
  | { readonly kind: 'take'; readonly version: number; readonly generation: Generation }
  | { readonly kind: 'wait'; readonly delay: Milliseconds };

export interface LeaseOptions {
  readonly store: ObjectStore;
  /** Name of the lease object. */
  readonly name: string;
  /** Incarnation that asks for the lease. */
  readonly holder: string;
  readonly clock: Clock;
  readonly random: Random;
  /** How long the lease holds after each renewal. */
  readonly duration?: Milliseconds;
  /** Told of every change; a lapse is reported when its timer runs, `state()` shows it at once. */
  readonly onChange?: (state: LeaseState) => void;
}

/** One call over HTTP. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** What became of one call over HTTP. */
export type HttpReply =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: Readonly<Record<string, string | string[] | undefined>>;
      readonly text: string;
    }
  /** No byte of the call was written. */
  | { readonly kind: 'notSent' }
  /** No answer came; the call may have taken effect, or may still do so. */
  | { readonly kind: 'lost' };

export interface HttpClient {
  /** Resolves within `timeout`, by the caller's clock. */
  send(call: HttpCall, timeout: Milliseconds): Promise<HttpReply>;
  close(): Promise<void>;
}
