/** Moves of a pool's traffic from one version to another. */
import type {
  FailureDomainId,
  Generation,
  Milliseconds,
  PoolId,
  TierRank,
  VersionId,
} from '@rattanreel/core';

export type MoveVerdict = 'underWay' | 'done' | 'takenBack' | 'cancelled';

/** Why a version was judged bad. */
export type BadnessGround = 'errors' | 'slowFirstToken' | 'slowBetweenTokens' | 'operator';

export interface TakeBackReason {
  readonly ground: BadnessGround;
  readonly route: string;
  readonly tier: TierRank;
  readonly failureDomain: FailureDomainId;
  readonly detail: string;
}

/** One step of a move's plan. */
export interface MoveStep {
  /** Share of the new version once the step is in force. */
  readonly share: number;
  /** Wall time, milliseconds since 1970, before which the step is not taken. */
  readonly notBefore: number;
}

/** The move object in the store; changed by conditional update only. */
export interface MoveRecord {
  readonly kind: 'move';
  readonly pool: PoolId;
  readonly from: VersionId;
  readonly to: VersionId;
  /** Wall time, milliseconds since 1970. */
  readonly startedAt: number;
  /** Wall time by which the new version must carry everything. */
  readonly deadline: number;
  /** How long full share is watched before the move is done. */
  readonly bakeTime: Milliseconds;
  readonly steps: readonly MoveStep[];
  /** Index of the step in force; -1 before the first. */
  readonly step: number;
  /** Steps up to this index may be taken without the store, on local evidence. */
  readonly preAuthorisedThrough: number;
  /** Grows with each change of the record. */
  readonly generation: Generation;
  readonly verdict: MoveVerdict;
  readonly takenBackBecause: TakeBackReason | undefined;
  /** Set once the deadline cannot be met any more. */
  readonly late: boolean;
}
