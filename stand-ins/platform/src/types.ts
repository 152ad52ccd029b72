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

/** How the store misbehaves; all of it off by default. */
export interface StoreFaults {
  /**
   * `refusing` ends the watches and answers that calls were not taken; `silent` swallows calls without effect, and
   * open watches go silent.
   */
  readonly outage: 'none' | 'refusing' | 'silent';
  /** Added to every call's time. */
  readonly extraLatency: Milliseconds;
  /** Share of writes whose answer is lost after they took effect. */
  readonly lostAnswerShare: number;
  /** Share of writes that get no answer and take effect only later, if their condition then holds. */
  readonly lateWriteShare: number;
  /** Longest time until a late write takes effect. */
  readonly maximumLateWriteDelay: Milliseconds;
}

export type WriteFault =
  { readonly kind: 'loseAnswer' } | { readonly kind: 'landLate'; readonly delay: Milliseconds };

export interface ObjectStoreModelOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  /** Time of a call, there and back. */
  readonly latency?: Milliseconds;
  /** Changes kept for watches that start in the past. */
  readonly historyLength?: number;
  readonly bookmarkInterval?: Milliseconds;
  /** Time until a change of the hosts shows in their list. */
  readonly hostListLag?: Milliseconds;
}

/** Calls that the store was asked for. */
export interface StoreCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly refused: number;
}

/** A store in memory that keeps the object API's contract and fails when told to. */
export interface ObjectStoreModel {
  /** Always resolves; an answer that is lost resolves as `lost` after a long time. */
  call(call: StoreCall): Promise<StoreReply>;
  openWatch(request: WatchRequest, listener: (line: WatchLine) => void): Watch;
  setFaults(faults: Partial<StoreFaults>): void;
  /** Makes the next write that comes to the store go wrong. */
  failNextWrite(fault: WriteFault): void;
  /** Every watch now open delivers nothing any more and does not end. */
  stallWatches(): void;
  /** Ends every open watch. */
  endWatches(): void;
  /** Adds or changes a host; the list shows it after the lag. */
  putHost(host: ListedHost): void;
  /** Takes a host away; the list shows it after the lag. */
  removeHost(id: string): void;
  getCounts(): StoreCallCounts;
  /** Stops the timers of open watches. */
  close(): void;
}

export interface PlatformStandInOptions extends Partial<ObjectStoreModelOptions> {
  /** Loopback address to listen at. */
  readonly hostname?: string;
  /** Port to listen at; 0 takes a free one. */
  readonly port?: number;
}

/** The platform as a server on a loopback port. */
export interface PlatformStandIn {
  readonly url: string;
  readonly model: ObjectStoreModel;
  close(): Promise<void>;
}

/** One change, in the order of the store's version. */
export interface StoreChange {
  readonly version: number;
  readonly objectKind: string;
  readonly name: string;
  /** The object after the change; undefined when it was removed. */
  readonly object: StoredObject | undefined;
}
