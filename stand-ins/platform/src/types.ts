/** Types of the stand-in for the platform. */
import type { Clock, Milliseconds, Random } from '@rattanreel/core';
import type {
  ListedHost,
  StoreCall,
  StoredObject,
  StoreReply,
  Watch,
  WatchLine,
  WatchRequest,
} from '@rattanreel/platform';

/** Faults of the store; all are off by default. */
export interface StoreFaults {
  /**
   * `refusing` ends the watches and refuses every call; `silent` drops calls without effect or
   * response and stalls open watches.
   */
  readonly outage: 'none' | 'refusing' | 'silent';
  /** Added to the latency of every call. */
  readonly extraLatency: Milliseconds;
  /** Share of writes whose response is lost after they took effect. */
  readonly lostAnswerShare: number;
  /** Share of writes that get no response and are applied later, if their condition holds then. */
  readonly lateWriteShare: number;
  /** Maximum delay until a late write is applied. */
  readonly maximumLateWriteDelay: Milliseconds;
}

export type WriteFault =
  { readonly kind: 'loseAnswer' } | { readonly kind: 'landLate'; readonly delay: Milliseconds };

export interface ObjectStoreModelOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  /** Round-trip time of a call. */
  readonly latency?: Milliseconds;
  /** Number of changes retained for watches that start at an earlier version. */
  readonly historyLength?: number;
  readonly bookmarkInterval?: Milliseconds;
  /** Time until a change of a host becomes visible in the list. */
  readonly hostListLag?: Milliseconds;
}

/** Calls that the store received, by kind, and those that it refused. */
export interface StoreCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly refused: number;
}

/** An in-memory store that implements the object API's contract and can be made to fail. */
export interface ObjectStoreModel {
  /** Applies a call. Always resolves; a lost response resolves as `lost` after a long time. */
  call(call: StoreCall): Promise<StoreReply>;
  openWatch(request: WatchRequest, listener: (line: WatchLine) => void): Watch;
  setFaults(faults: Partial<StoreFaults>): void;
  /** Applies `fault` to the next write; repeated calls apply to the writes after it. */
  failNextWrite(fault: WriteFault): void;
  /** Stalls every open watch: it delivers nothing more and does not end. */
  stallWatches(): void;
  /** Ends every open watch. */
  endWatches(): void;
  /** Adds or changes a host; the list shows it after `hostListLag`. */
  putHost(host: ListedHost): void;
  /** Removes a host; the list drops it after `hostListLag`. */
  removeHost(id: string): void;
  getCounts(): StoreCallCounts;
  /** Closes every watch and cancels the timers of pending calls. */
  close(): void;
}

export interface PlatformStandInOptions extends Partial<ObjectStoreModelOptions> {
  /** Loopback address to listen on. */
  readonly hostname?: string;
  /** Port to listen on; 0 selects a free one. */
  readonly port?: number;
}

/** A server of the platform's object API on a loopback port. */
export interface PlatformStandIn {
  readonly url: string;
  readonly model: ObjectStoreModel;
  close(): Promise<void>;
}

/** One change of an object; changes are ordered by the store's version. */
export interface StoreChange {
  readonly version: number;
  readonly objectKind: string;
  readonly name: string;
  /** The object after the change; `undefined` if it was removed. */
  readonly object: StoredObject | undefined;
}
