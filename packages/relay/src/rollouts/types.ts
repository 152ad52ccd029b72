/** Types of roll-outs: the move of a pool's requests to another version of its servers. */
import type { BackendServerId, EntryHostId, Milliseconds, TierRank } from '@rattanreel/core';
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

export type CountsOfTiers = ReadonlyMap<string, VersionCounts>;

/** How far a roll-out is. */
export type RolloutProgress =
  | { readonly kind: 'trial' }
  /** The rest of the exposure is sent at once, so that faults under load show. */
  | { readonly kind: 'loadTest'; readonly before: CountsOfTiers }
  /** The version is good: servers of other versions receive nothing new. */
  | { readonly kind: 'moving' }
  | { readonly kind: 'rejected'; readonly reason: RejectionReason };

export type RejectionReason = 'bad' | 'tooFewAnswers' | 'badUnderLoad' | 'tooFewSlots';

/** What a roll-out's next step is decided by. */
export interface RolloutFacts {
  readonly isBad: boolean;
  /** Answers that all hosts have seen, by tier. */
  readonly counts: CountsOfTiers;
  /** Time since the order. */
  readonly elapsed: Milliseconds;
  readonly duration: Milliseconds;
  /** Whether the servers of the version have about as many slots as the others. */
  readonly hasEnoughSlots: boolean;
}

/** Servers, and requests in progress at them, as far as a host knows. */
export interface FleetLoad {
  readonly servers: readonly ListedServer[];
  readonly inFlight: ReadonlyMap<BackendServerId, number>;
  /** Whether all hosts of the fleet have reported of late. */
  readonly isWhole: boolean;
}

/** What hosts know of one roll-out. */
export interface RolloutFindings {
  /** Whether a host found that the version is bad. */
  readonly isBad: boolean;
  readonly countsByHost: Readonly<Record<EntryHostId, CountsByTier>>;
  /** Time since the order, as the host that has known it longest counts it; absent if unknown. */
  readonly age?: Milliseconds;
  /** Whether a host found that the version is good; absent if none did. */
  readonly isGood?: boolean;
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
  /** Allows the part of the exposure that the trial has not used so far. */
  allowLoadTest(): void;
}

/** A roll-out in force, and what this host knows of it. */
export interface RolloutEntry {
  rollout: Rollout;
  readonly trial: RolloutTrial;
  isReported: boolean;
  /** When the order was given. */
  orderedAt: Milliseconds;
  progress: RolloutProgress;
  /** Since when no request is known at the old servers while requests move. */
  drainedSince: Milliseconds | undefined;
  /** When the store said that the roll-out is complete. */
  completedAt: Milliseconds | undefined;
  /** Whether a write of `complete` is under way, or has succeeded. */
  isWriting: boolean;
}

export interface Rollouts {
  setRollouts(rollouts: readonly Rollout[]): void;
  getUse(server: ListedServer): ServerUse;
  /** Whether a server on trial may get a request now; always true for others. */
  mayTry(server: ListedServer): boolean;
  /** Whether requests should go to this server if it has room, for a test under load. */
  isPreferred(server: ListedServer): boolean;
  /** Records that a request was granted a slot at a server. */
  recordGrant(server: ListedServer): void;
  recordAttempt(server: ListedServer, tier: TierRank, figures: AttemptFigures): void;
  merge(report: RolloutReport): void;
  tryGetReport(): RolloutReport | undefined;
}
