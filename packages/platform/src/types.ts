/** Types of the platform's object API as the rest of the system uses it. */
import type { Clock, Generation, Milliseconds, Outcome, Random } from '@rattanreel/core';

/** Object with the version that the store assigned to it at its last change. */
export interface StoredObject<Value = unknown> {
  readonly kind: string;
  readonly name: string;
  /** Increases with each change anywhere in the store. */
  readonly version: number;
  readonly value: Value;
  /** What the system reports about the object; absent if the store has no statuses. */
  readonly status?: unknown;
  /** Version at which the object was created; absent if the store does not tell. */
  readonly createdAt?: number;
}

/** Reason why a call to the store did not succeed. */
export type StoreError =
  /** The condition did not hold; `current` is the object in the store now. */
  | { readonly kind: 'conflict'; readonly current: StoredObject | undefined }
  | { readonly kind: 'notFound' }
  /** The call certainly had no effect. */
  | { readonly kind: 'unavailable'; readonly retryAfterMilliseconds: Milliseconds }
  /** The call may have taken effect, or may still do so. */
  | { readonly kind: 'outcomeUnknown' }
  /** This process has spent its call budget. */
  | { readonly kind: 'callBudgetSpent'; readonly retryAfterMilliseconds: Milliseconds }
  | { readonly kind: 'invalidAnswer'; readonly detail: string };

export interface ListedObjects<Value = unknown> {
  readonly items: readonly StoredObject<Value>[];
  /** Version of the store at the time of the list. */
  readonly version: number;
}

export interface ListOptions {
  /** Lists only objects whose names begin with it. */
  readonly prefix?: string;
  /** Accepts a list that may be seconds old, which costs less. */
  readonly allowStale?: boolean;
}

export type WatchEvent<Value = unknown> =
  | { readonly kind: 'changed'; readonly object: StoredObject<Value> }
  | { readonly kind: 'removed'; readonly name: string; readonly version: number }
  /** All watched objects, at the start and after each new list. */
  | { readonly kind: 'listed'; readonly list: ListedObjects<Value> }
  /** The watch cannot read the state of the store; it keeps trying. */
  | { readonly kind: 'lost'; readonly error: StoreError };

export interface Watch {
  close(): void;
}

/** Client of the object API. Every wait in it is bounded. */
export interface ObjectStore {
  get<Value>(kind: string, name: string): Promise<Outcome<StoredObject<Value>, StoreError>>;
  list<Value>(
    kind: string,
    options?: ListOptions,
  ): Promise<Outcome<ListedObjects<Value>, StoreError>>;
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
  /** Replaces the status of an object; fails with `conflict` unless its version is `version`. */
  updateStatus(
    kind: string,
    name: string,
    status: unknown,
    version: number,
  ): Promise<Outcome<StoredObject, StoreError>>;
  /** Fails with `conflict` unless the object's version is `version`. */
  remove(kind: string, name: string, version: number): Promise<Outcome<void, StoreError>>;
  /** Reports the objects of a kind and every change to them until closed. */
  watch<Value>(kind: string, listener: (event: WatchEvent<Value>) => void, prefix?: string): Watch;
  /** Whether `close` was called: further calls fail. Absent in stores that are never closed. */
  isClosed?(): boolean;
  close(): Promise<void>;
}

/** Host in the platform's list, which lags behind. */
export interface ListedHost {
  readonly id: string;
  readonly state: 'live' | 'leaving';
  readonly address: string;
}

export type LeaseState =
  { readonly kind: 'notHeld' } | { readonly kind: 'held'; readonly generation: Generation };

/** Lease in the store. Its generation is the fencing token. */
export interface Lease {
  /**
   * Returns the state by the monotonic clock, so that a paused holder sees that its lease has
   * expired.
   */
  state(): LeaseState;
  /** Releases the lease, unless `isReleasedOnStop` is false, and stops trying to acquire it. */
  stop(): Promise<void>;
}

/** Lease whose holder checks its times before each act. */
export interface TimedLease extends Lease {
  /** Returns the times and the era of the lease while `state()` is `held`. */
  tryGetHolding(): LeaseHolding | undefined;
}

/** A lease that is held now. */
export interface LeaseHolding {
  readonly generation: Generation;
  /** Era of the store in which it was acquired; 0 without `getEra`. */
  readonly era: number;
  readonly acquiredAt: Milliseconds;
  /** When the last successful renewal was sent. */
  readonly renewedAt: Milliseconds;
  /** Time from which the holder must no longer act, by the monotonic clock. */
  readonly expiresAt: Milliseconds;
  /** The same in Unix milliseconds: the monotonic clock stands still while a machine is suspended. */
  readonly wallExpiresAt: number;
}

/** Client of the object API and of the platform's list of hosts. */
export interface PlatformClient extends ObjectStore {
  /** Returns the platform's list of hosts, which lags behind the actual state. */
  listHosts(): Promise<Outcome<readonly ListedHost[], StoreError>>;
}

/** Call to the object API, as a transport carries it. */
export type StoreCall =
  | { readonly kind: 'get'; readonly objectKind: string; readonly name: string }
  | {
      readonly kind: 'list';
      readonly objectKind: string;
      readonly prefix: string;
      readonly allowStale?: boolean;
    }
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
      /** The part of the object that `value` replaces. */
      readonly part?: 'value' | 'status';
    }
  | {
      readonly kind: 'remove';
      readonly objectKind: string;
      readonly name: string;
      readonly version: number;
    }
  | { readonly kind: 'listHosts' };

/** Result of one call. */
export type StoreReply =
  | { readonly kind: 'object'; readonly object: StoredObject }
  | { readonly kind: 'list'; readonly list: ListedObjects }
  | { readonly kind: 'removed' }
  | { readonly kind: 'hosts'; readonly hosts: readonly ListedHost[] }
  | { readonly kind: 'notFound' }
  | { readonly kind: 'conflict'; readonly current: StoredObject | undefined }
  /** The store refused the call, or no byte of it was sent: it had no effect. */
  | {
      readonly kind: 'refused';
      readonly reason: 'rateLimited' | 'outage' | 'notSent';
      readonly retryAfter: Milliseconds;
    }
  /** No answer arrived; the call may have taken effect, or may still do so. */
  | { readonly kind: 'lost' }
  | { readonly kind: 'invalid'; readonly detail: string };

/** Message of a watch connection. */
export type WatchLine =
  | { readonly kind: 'changed'; readonly object: StoredObject }
  | { readonly kind: 'removed'; readonly name: string; readonly version: number }
  /** All changes up to `version` have been delivered. */
  | { readonly kind: 'bookmark'; readonly version: number }
  /** The connection has ended; after `tooOld` a new list is needed. */
  | { readonly kind: 'ended'; readonly reason: 'tooOld' | 'refused' | 'broken' };

export interface WatchRequest {
  readonly objectKind: string;
  readonly prefix: string;
  /** Only changes after this version are delivered. */
  readonly after: number;
}

/** Carries single calls to the object API. It never retries a call. */
export interface StoreTransport {
  /** Resolves within `timeout`, by the transport's clock. */
  call(call: StoreCall, timeout: Milliseconds): Promise<StoreReply>;
  /** Delivers messages until closed or ended. */
  openWatch(request: WatchRequest, listener: (line: WatchLine) => void): Watch;
  close(): Promise<void>;
}

/** Limits the use of the object API by one process. */
export interface CallBudget {
  /** Calls per second; opening a watch counts as one. */
  readonly callsPerSecond: number;
  /** Largest number of calls at once after an idle period. */
  readonly burst: number;
}

export interface ObjectStoreOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly callBudget?: Partial<CallBudget>;
  /** Longest wait for the answer to one call. */
  readonly callTimeout?: Milliseconds;
  /** Longest time for a call and its retries together. */
  readonly deadline?: Milliseconds;
  /** Initial backoff before a retry, doubled with each attempt and jittered. */
  readonly backoff?: Milliseconds;
  /** Time without a message after which a watch connection is considered dead. */
  readonly watchIdleTimeout?: Milliseconds;
  /** Approximate time after which a watch lists the objects again and reconnects. */
  readonly relistInterval?: Milliseconds;
  /** Longest backoff between two attempts to watch while the store is unreachable. */
  readonly maximumWatchBackoff?: Milliseconds;
}

/** Outcome of a conditional write after all attempts. */
export type ConditionalWriteResult<Value = unknown> =
  | { readonly kind: 'written'; readonly object: StoredObject<Value> }
  /** The store holds another object. `wasInDoubt`: an attempt may have taken effect before it. */
  | {
      readonly kind: 'superseded';
      readonly current: StoredObject | undefined;
      readonly wasInDoubt: boolean;
    }
  /** No attempt took effect, and none will. */
  | { readonly kind: 'notWritten'; readonly error: StoreError }
  /** An attempt may have taken effect, or may still do so. */
  | { readonly kind: 'inDoubt' };

/** Lease object in the store. */
export interface LeaseRecord {
  readonly holder: string;
  /** Distinguishes this write from every other. */
  readonly nonce: string;
  readonly generation: Generation;
  /** How long the holder may act after each renewal. */
  readonly duration: Milliseconds;
  readonly isReleased: boolean;
}

/** Version of the lease and the time at which this process first saw it, by its own clock. */
export interface LeaseObservation {
  readonly object: StoredObject<LeaseRecord>;
  readonly since: Milliseconds;
}

/** Next step of a candidate for a lease that it does not hold. */
export type LeaseStep =
  | { readonly kind: 'create'; readonly generation: Generation }
  | { readonly kind: 'take'; readonly version: number; readonly generation: Generation }
  | { readonly kind: 'wait'; readonly delay: Milliseconds };

export interface LeaseOptions {
  readonly store: Pick<ObjectStore, 'get' | 'create' | 'update'>;
  /** Name of the lease object. */
  readonly name: string;
  /** Incarnation that acquires the lease. */
  readonly holder: string;
  readonly clock: Clock;
  readonly random: Random;
  /** How long the lease is valid after each renewal. */
  readonly duration?: Milliseconds;
  /**
   * Called with every change of the state. An expiry is reported when its timer runs, while
   * `state()` shows it at once.
   */
  readonly onChange?: (state: LeaseState) => void;
  /**
   * Returns the era of a store's version. With it the lease survives a store that returns from an
   * older copy: it ends at once when the era rises, and a candidate that finds no lease, or learns
   * of another era, waits a whole duration first, since a holder may act on a lease that the copy
   * does not contain. The lease then also expires by the wall clock.
   */
  readonly getEra?: (version: number) => number;
  /** Returns the highest era that this process knows from other sources. */
  readonly getKnownEra?: () => number | undefined;
  /** Whether `stop` releases the lease, so that another candidate acquires it at once. */
  readonly isReleasedOnStop?: boolean;
}

/** HTTP call. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Result of one HTTP call. */
export type HttpReply =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: Readonly<Record<string, string | string[] | undefined>>;
      readonly text: string;
    }
  /** No byte of the call was written. */
  | { readonly kind: 'notSent' }
  /** No answer arrived; the call may have taken effect, or may still do so. */
  | { readonly kind: 'lost' };

export interface HttpClient {
  /** Resolves within `timeout`, by the caller's clock. */
  send(call: HttpCall, timeout: Milliseconds): Promise<HttpReply>;
  close(): Promise<void>;
}
