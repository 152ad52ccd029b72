/** Types of the guard against requests under which backend servers end. */
import type { Milliseconds, RequestId } from '@rattanreel/core';
import type { ListedServer, TraitId } from '../types';

/** A part of a prompt, or all of a request's content. */
export type TraitKind = 'promptPart' | 'content';

/** Names one process of a backend server: its identifier and its start time. */
export type ProcessKey = string;

/** What is known of a trait, by the processes which ended while requests with it began. */
export interface TraitEvidence {
  /** Processes whose end the trait may have caused. */
  readonly open: readonly ProcessKey[];
  /** Processes whose end it did not cause, since it was answered completely at that time. */
  readonly cleared: readonly ProcessKey[];
  /** Whether a request with the trait is known to have been answered completely. */
  readonly isAnswered: boolean;
}

export interface Quarantine {
  readonly remaining: Milliseconds;
  /** How often the trait has been quarantined; a higher count supersedes a lower one. */
  readonly strikes: number;
}

/**
 * What a host tells others about requests that end servers. Messages may be lost, repeated and passed on by any host:
 * merging them in any order leads to the same state.
 */
export interface CrashReport {
  /** Processes that are known to have ended. */
  readonly ended: readonly ProcessKey[];
  readonly traits: Readonly<Record<TraitId, TraitEvidence>>;
  readonly quarantined: Readonly<Record<TraitId, Quarantine>>;
  /** Digests of requests that arrived while their trait was suspended; absent if there are none. */
  readonly arrivals?: Readonly<Record<TraitId, readonly string[]>>;
}

/** Why requests with a trait are refused, and for how long at most. */
export interface RequestBlock {
  readonly kind: 'suspended' | 'quarantined';
  readonly trait: TraitId;
  readonly remaining: Milliseconds;
}

/** What the report of another host changed. */
export type MergeResult =
  | 'nothing'
  /** This host learnt what the other one knew. */
  | 'learnt'
  /** This host has seen answers to traits that the other one suspects, which that one should know. */
  | 'cleared';

export interface CrashEvidence {
  /** Records that a process may have ended under these traits; returns whether that is new. */
  recordSuspects(process: ProcessKey, traits: readonly TraitId[], now: Milliseconds): boolean;
  /** Records that a process has ended; returns whether that is new. */
  recordEnded(process: ProcessKey, now: Milliseconds): boolean;
  /** Clears traits of which a request was answered completely; returns whether any was suspected. */
  recordAnswered(traits: readonly TraitId[], now: Milliseconds): boolean;
  /** Lists the processes that are suspected to have ended, and are not known to have. */
  listUnconfirmed(): readonly ProcessKey[];
  /**
   * Processes that ended and whose end each trait may have caused, as far as that became known at the
   * trait's `getSince` or later.
   */
  getSuspects(
    getSince: (trait: TraitId) => Milliseconds,
  ): ReadonlyMap<TraitId, ReadonlySet<ProcessKey>>;
  /** Whether a request with the trait is known to have been answered completely at any host. */
  wasAnswered(trait: TraitId): boolean;
  merge(report: Pick<CrashReport, 'ended' | 'traits'>, now: Milliseconds): MergeResult;
  /**
   * Returns what changed recently, of other traits than the `blocked` ones without the ends that
   * these explain: a host that knows fewer ends of a blocked trait would take them for unexplained.
   */
  getRecent(now: Milliseconds, blocked: readonly TraitId[]): Pick<CrashReport, 'ended' | 'traits'>;
}

/** A map that is bounded in size and age. */
export interface RecentMap<Key, Value> {
  readonly size: number;
  get(key: Key): Value | undefined;
  /** Sets an entry, which becomes the newest one. */
  set(key: Key, value: Value, now: Milliseconds): void;
  delete(key: Key): void;
  /** Lists the entries that were set at `since` or later, oldest first. */
  list(since?: Milliseconds): readonly (readonly [Key, Value])[];
}

export interface QuarantineList {
  add(trait: TraitId, now: Milliseconds): void;
  /** Merges the quarantines of another host; returns the traits whose quarantine is new. */
  merge(quarantined: CrashReport['quarantined'], now: Milliseconds): readonly TraitId[];
  /** Returns the time left of a trait's quarantine; undefined if it is not quarantined. */
  tryGetRemaining(trait: TraitId, now: Milliseconds): Milliseconds | undefined;
  /** Returns when the last quarantine of a trait ended; undefined if none has. */
  tryGetLastEnd(trait: TraitId, now: Milliseconds): Milliseconds | undefined;
  /** Returns how often a trait has been quarantined. */
  getStrikes(trait: TraitId): number;
  list(now: Milliseconds): CrashReport['quarantined'];
}

export interface SuspensionList {
  /** Replaces the suspended traits; returns those that were not suspended before. */
  retain(traits: readonly TraitId[], now: Milliseconds): readonly TraitId[];
  /** Returns since when a trait is suspended; undefined if it is not. */
  tryGetSince(trait: TraitId): Milliseconds | undefined;
  /** Counts the requests that arrived while the trait was suspended, up to a bound. */
  countArrivals(trait: TraitId): number;
  /** Records the arrival of a request; returns whether that is new for a suspended trait. */
  recordArrival(traits: readonly TraitId[], request: RequestId): boolean;
  /** Merges the arrivals at other hosts; returns whether any is new. */
  merge(arrivals: NonNullable<CrashReport['arrivals']>): boolean;
  list(): readonly TraitId[];
  listArrivals(): NonNullable<CrashReport['arrivals']>;
}

export interface CrashGuard {
  /** Records that a caller's request with these traits arrived. */
  recordArrival(traits: readonly TraitId[], request: RequestId): void;
  /** Returns why requests with these traits must not be sent; undefined if they may. */
  tryGetBlock(traits: readonly TraitId[]): RequestBlock | undefined;
  /** Records that a request with these traits was answered completely. */
  recordAnswered(traits: readonly TraitId[]): void;
  /** Records that a connection failed while a server was to begin a request with these traits. */
  recordBroken(server: ListedServer, traits: readonly TraitId[]): void;
  /** Records that a process of a server has ended. */
  recordEnded(server: ListedServer): void;
  /** Concludes from the list of servers which suspected processes have ended. */
  recordListed(servers: readonly ListedServer[]): void;
  /** Calls back each time that one of the traits is quarantined, until the returned function is called. */
  watch(traits: readonly TraitId[], onQuarantined: () => void): () => void;
  merge(report: CrashReport): void;
  /** Returns what other hosts should know; undefined if there is nothing. */
  tryGetReport(): CrashReport | undefined;
  countQuarantined(): number;
}
