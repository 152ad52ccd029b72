/** Types of the guard against parts of prompts under which backend servers end. */
import type { Milliseconds } from '@rattanreel/core';
import type { ListedServer, PromptPartId } from '../types';

/** Names one process of a backend server: its identifier and its start time. */
export type ProcessKey = string;

/** What is known of a part of a prompt, by the processes which ended while requests with it began. */
export interface PartEvidence {
  /** Processes whose end the part may have caused. */
  readonly open: readonly ProcessKey[];
  /** Processes whose end it did not cause, since it was answered completely at that time. */
  readonly cleared: readonly ProcessKey[];
}

export interface Quarantine {
  readonly remaining: Milliseconds;
  /** How often the part has been quarantined; a higher count supersedes a lower one. */
  readonly strikes: number;
}

/**
 * What a host tells others about prompts. Messages may be lost, repeated and passed on by any host:
 * merging them in any order leads to the same state.
 */
export interface PromptReport {
  /** Processes that are known to have ended. */
  readonly ended: readonly ProcessKey[];
  readonly parts: Readonly<Record<PromptPartId, PartEvidence>>;
  readonly quarantined: Readonly<Record<PromptPartId, Quarantine>>;
}

/** Why requests with a part are refused, and for how long at most. */
export interface PromptBlock {
  readonly kind: 'suspended' | 'quarantined';
  readonly part: PromptPartId;
  readonly remaining: Milliseconds;
}

/** What the report of another host changed. */
export type MergeResult =
  | 'nothing'
  /** This host learnt what the other one knew. */
  | 'learnt'
  /** This host cleared parts that the other one suspects, which that one should know. */
  | 'cleared';

export interface PromptEvidence {
  /** Records that a process may have ended under these parts; returns whether that is new. */
  recordSuspects(process: ProcessKey, parts: readonly PromptPartId[], now: Milliseconds): boolean;
  /** Records that a process has ended; returns whether that is new. */
  recordEnded(process: ProcessKey, now: Milliseconds): boolean;
  /** Clears parts of which a request was answered completely; returns whether any was suspected. */
  recordAnswered(parts: readonly PromptPartId[], now: Milliseconds): boolean;
  /** Lists the processes that are suspected to have ended, and are not known to have. */
  listUnconfirmed(): readonly ProcessKey[];
  /**
   * Processes that ended and whose end each part may have caused, as far as that became known at the
   * part's `getSince` or later.
   */
  getSuspects(
    getSince: (part: PromptPartId) => Milliseconds,
  ): ReadonlyMap<PromptPartId, ReadonlySet<ProcessKey>>;
  /** Whether a request with the part was answered completely, as far as this host remembers. */
  wasAnswered(part: PromptPartId): boolean;
  merge(report: Pick<PromptReport, 'ended' | 'parts'>, now: Milliseconds): MergeResult;
  /** Returns what changed recently. */
  getRecent(now: Milliseconds): Pick<PromptReport, 'ended' | 'parts'>;
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
  add(part: PromptPartId, now: Milliseconds): void;
  /** Merges the quarantines of another host; returns the parts whose quarantine is new. */
  merge(quarantined: PromptReport['quarantined'], now: Milliseconds): readonly PromptPartId[];
  /** Returns the time left of a part's quarantine; undefined if it is not quarantined. */
  tryGetRemaining(part: PromptPartId, now: Milliseconds): Milliseconds | undefined;
  /** Returns when the last quarantine of a part ended; undefined if none has. */
  tryGetLastEnd(part: PromptPartId, now: Milliseconds): Milliseconds | undefined;
  /** Returns how often a part has been quarantined. */
  getStrikes(part: PromptPartId): number;
  list(now: Milliseconds): PromptReport['quarantined'];
}

export interface PromptGuard {
  /** Returns why requests with these parts must not be sent; undefined if they may. */
  tryGetBlock(parts: readonly PromptPartId[]): PromptBlock | undefined;
  /** Records that a request with these parts was answered completely. */
  recordAnswered(parts: readonly PromptPartId[]): void;
  /** Records that a connection failed while a server was to begin a request with these parts. */
  recordBroken(server: ListedServer, parts: readonly PromptPartId[]): void;
  /** Records that a process of a server has ended. */
  recordEnded(server: ListedServer): void;
  /** Concludes from the list of servers which suspected processes have ended. */
  recordListed(servers: readonly ListedServer[]): void;
  /** Calls back each time that one of the parts is quarantined, until the returned function is called. */
  watch(parts: readonly PromptPartId[], onQuarantined: () => void): () => void;
  merge(report: PromptReport): void;
  /** Returns what other hosts should know; undefined if there is nothing. */
  tryGetReport(): PromptReport | undefined;
  countQuarantined(): number;
}
