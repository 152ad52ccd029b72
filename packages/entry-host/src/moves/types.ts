/** Types of one entry host's part in moves of traffic. */
import type {
  Clock,
  EntryHostId,
  FailureDomainId,
  Incarnation,
  PoolId,
  Random,
} from '@rattanreel/core';
import type {
  CancelRequested,
  MoveControllerMessage,
  MoveGuardMessage,
  MoveDecisionLogged,
  RecordAnswer,
  RecordEffect,
  RecordSeen,
  ReportReceived,
  StoredMove,
  VetoReceived,
} from '@rattanreel/moves';
import type { DecisionLog } from '@rattanreel/observability';
import type { LeaseState, ObjectStore } from '@rattanreel/platform';
import type { VersionEvidence, VersionShare } from '@rattanreel/scheduling';
import type { MembershipTask } from '../types';
import type { SchedulerTask } from '../scheduling/types';

/** Messages between entry hosts about a pool's move. */
export type MovePeerMessage = RecordSeen | VetoReceived | ReportReceived | CancelRequested;

/** Sends a message to every entry host that takes part in a pool's move, this one included. */
export type AnnounceMove = (pool: PoolId, message: MovePeerMessage) => void;

/** Reads and writes move records for a guard or a controller. */
export type CarryOutRecordEffect = (
  effect: RecordEffect,
  answer: (answer: RecordAnswer) => void,
) => void;

export type LogMoveDecision = (effect: MoveDecisionLogged) => void;

/** Dependencies that the parts of the moves task share. */
export interface MovesContext {
  readonly clock: Clock;
  readonly failureDomain: FailureDomainId;
  readonly announce: AnnounceMove;
  readonly carryOutRecord: CarryOutRecordEffect;
  readonly logDecision: LogMoveDecision;
}

export interface MovesTaskOptions {
  readonly entryHost: EntryHostId;
  readonly failureDomain: FailureDomainId;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly decisions: DecisionLog;
  readonly membership: Pick<MembershipTask, 'self' | 'view' | 'tryGetScheduler'>;
  readonly tryGetTask: (pool: PoolId) => SchedulerTask | undefined;
  /** Returns the failure domains that have backend servers of a pool. */
  readonly getFailureDomains: (pool: PoolId) => readonly FailureDomainId[];
  readonly getPools: () => readonly PoolId[];
  readonly sendToPeer: (entryHost: EntryHostId, pool: PoolId, message: MovePeerMessage) => void;
  /** Called when the version shares of a pool scheduled here have changed. */
  readonly onSharesChanged: () => void;
}

/** Runs guards for the pools scheduled here, and controllers while the moves lease is held. */
export interface MovesTask {
  /** Follows changes of ownership and triggers timed work; called several times a second. */
  update(): void;
  receive(pool: PoolId, message: MovePeerMessage): void;
  receiveEvidence(pool: PoolId, evidence: VersionEvidence): void;
  tryGetShares(pool: PoolId): readonly VersionShare[] | undefined;
  /** Returns the latest known record of a pool's move. */
  tryGetRecord(pool: PoolId): StoredMove | undefined;
  getRecords(): readonly StoredMove[];
  /** Announces to every participant that an operator has cancelled a move. */
  cancel(pool: PoolId, stored: StoredMove, operator: string): void;
  close(): Promise<void>;
}

/** A guard or controller whose effects are carried out. */
export interface MoveMessageHandler<Message> {
  handle(message: Message): void;
}

export type MoveGuardRunner = MoveMessageHandler<MoveGuardMessage> & {
  shares(): readonly VersionShare[] | undefined;
};

export type MoveControllerRunner = MoveMessageHandler<MoveControllerMessage>;

/** Watches the move records and competes for the moves lease on behalf of a failure domain. */
export interface MoveDelegate {
  isActive(): boolean;
  /** Starts with an incarnation as the lease holder's name. */
  start(holder: Incarnation): void;
  /** Stops watching and releases the lease. */
  stop(): Promise<void>;
}

export interface MoveDelegateOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly onRecord: (pool: PoolId, stored: StoredMove) => void;
  readonly onLease: (state: LeaseState) => void;
}
