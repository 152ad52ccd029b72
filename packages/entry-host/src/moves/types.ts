/** Moves of traffic as one entry host takes part in them. */
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

/** What entry hosts tell each other about a pool's move. */
export type MovePeerMessage = RecordSeen | VetoReceived | ReportReceived | CancelRequested;

/** Sends a message to every entry host that takes part in a pool's move, this one included. */
export type AnnounceMove = (pool: PoolId, message: MovePeerMessage) => void;

/** Reads and writes move records for a guard or a controller. */
export type CarryOutRecordEffect = (
  effect: RecordEffect,
  answer: (answer: RecordAnswer) => void,
) => void;

export type LogMoveDecision = (effect: MoveDecisionLogged) => void;

/** What the parts of the moves task share. */
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
  /** Failure domains that have backend servers of a pool. */
  readonly getFailureDomains: (pool: PoolId) => readonly FailureDomainId[];
  readonly getPools: () => readonly PoolId[];
  readonly sendToPeer: (entryHost: EntryHostId, pool: PoolId, message: MovePeerMessage) => void;
  /** The shares of a pool scheduled here have changed. */
  readonly onSharesChanged: () => void;
}

/** The moves of an entry host: guards where pools are scheduled, controllers where the lease is held. */
export interface MovesTask {
  /** Follows changes of ownership, and lets time pass; called several times a second. */
  update(): void;
  receive(pool: PoolId, message: MovePeerMessage): void;
  receiveEvidence(pool: PoolId, evidence: VersionEvidence): void;
  tryGetShares(pool: PoolId): readonly VersionShare[] | undefined;
  /** The latest record known here of a pool's move. */
  tryGetRecord(pool: PoolId): StoredMove | undefined;
  records(): readonly StoredMove[];
  /** Tells every participant that an operator has cancelled a move. */
  cancel(pool: PoolId, stored: StoredMove, operator: string): void;
  close(): Promise<void>;
}

/** One guard or controller with its effects carried out. */
export interface MoveMessageHandler<Message> {
  handle(message: Message): void;
}

export type MoveGuardRunner = MoveMessageHandler<MoveGuardMessage> & {
  shares(): readonly VersionShare[] | undefined;
};

export type MoveControllerRunner = MoveMessageHandler<MoveControllerMessage>;

/** Watches the move records and asks for the moves lease on behalf of a failure domain. */
export interface MoveDelegate {
  isActive(): boolean;
  /** Starts under the name of an incarnation. */
  start(holder: Incarnation): void;
  /** Gives the lease up and stops watching. */
  stop(): Promise<void>;
}

export interface MoveDelegateOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly onRecord: (pool: PoolId, stored: StoredMove) => void;
  readonly onLease: (state: LeaseState) => void;
}
