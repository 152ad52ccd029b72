/** The platform's object API as the rest of the system sees it. */
import type { Generation, Milliseconds, Outcome } from '@rattanreel/core';

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
