/** Types of roll-outs: the move of a pool's requests to another version of its servers. */
import type { EntryHostId, TierRank } from '@rattanreel/core';
import type { ListedServer, Rollout, AttemptFigures } from '../types';

/** Answers of the servers of one version, and those that failed or were slow. */
export interface AnswerCounts {
  readonly answers: number;
  readonly bad: number;
}

/** The answers of both versions that one host has seen, for one tier of requests. */
export interface VersionCounts {
  readonly target: AnswerCounts;
  readonly others: AnswerCounts;
}

export type CountsByTier = Readonly<Record<string, VersionCounts>>;

/** What hosts know of one roll-out. */
export interface RolloutFindings {
  /** Whether a host found that the version is bad. */
  readonly isBad: boolean;
  readonly countsByHost: Readonly<Record<EntryHostId, CountsByTier>>;
}

/** What hosts know of the roll-outs that are running, by the key of the roll-out. */
export type RolloutReport = Readonly<Record<string, RolloutFindings>>;

/** How requests may use a server with regard to the roll-outs of its pool. */
export type ServerUse =
  | 'free'
  /** It has the version that is rolled out: it gets a small share of the requests. */
  | 'trial'
  /** It has a version that is rolled back. */
  | 'none';

/** Counts the answers of both versions at this host, and those that failed or were slow. */
export interface AnswerComparison {
  record(isTarget: boolean, tier: TierRank, figures: AttemptFigures): void;
  getCounts(): CountsByTier;
}

/** The trial of one version at one host. */
export interface RolloutTrial {
  isBad(): boolean;
  /** Whether the version may get a request now. */
  mayTry(): boolean;
  recordGrant(isTarget: boolean): void;
  recordAttempt(isTarget: boolean, tier: TierRank, figures: AttemptFigures): void;
  /** Marks the version as bad, as the store says. */
  markBad(): void;
  /** Merges what another host knows. */
  merge(findings: RolloutFindings): void;
  getFindings(): RolloutFindings;
}

export interface Rollouts {
  setRollouts(rollouts: readonly Rollout[]): void;
  getUse(server: ListedServer): ServerUse;
  /** Whether a server on trial may get a request now; always true for others. */
  mayTry(server: ListedServer): boolean;
  /** Records that a request was granted a slot at a server. */
  recordGrant(server: ListedServer): void;
  recordAttempt(server: ListedServer, tier: TierRank, figures: AttemptFigures): void;
  merge(report: RolloutReport): void;
  tryGetReport(): RolloutReport | undefined;
}
