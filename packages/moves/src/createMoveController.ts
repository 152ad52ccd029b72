import type { FailureDomainId } from '@rattanreel/core';
import type { LeaseState } from '@rattanreel/platform';
import { match } from 'ts-pattern';
import createRecordWriter from './createRecordWriter';
import createReportCache from './createReportCache';
import decideRestriction from './decideRestriction';
import decideProgress from './decideProgress';
import getMovePolicy from './getMovePolicy';
import getMoveIdentity from './getMoveIdentity';
import isSameMove from './isSameMove';
import toMoveDecisionLogs from './toMoveDecisionLogs';
import type {
  HoldReason,
  MoveChange,
  MoveController,
  MoveControllerEffect,
  MoveControllerMessage,
  MoveControllerOptions,
  MoveIdentity,
  MoveRecord,
  MoveVeto,
  RecordAnswer,
  StoredMove,
} from './types';

/**
 * Creates the controller that drives one pool's moves while the moves lease is held. A decision takes effect only
 * through the record: each step and verdict is a conditional update under the lease's generation, so that two
 * controllers cannot contradict each other.
 */
export default function createMoveController(options: MoveControllerOptions): MoveController {
  const policy = getMovePolicy(options.policy);
  const writer = createRecordWriter();
  const reports = createReportCache(policy.reportLifetime);
  let reachable: readonly FailureDomainId[] = options.failureDomains;
  let lease: LeaseState = { kind: 'notHeld' };
  let veto: MoveVeto | undefined;
  let cancelled: MoveIdentity | undefined;
  let stepSince = Number.NEGATIVE_INFINITY;
  let holdReason: HoldReason | undefined;
  let loggedHoldReason: HoldReason | undefined;

  function createDecider(now: number): (record: MoveRecord) => MoveChange | undefined {
    return (record) => {
      holdReason = undefined;
      if (lease.kind !== 'held' || record.verdict !== 'underWay') {
        return undefined;
      }
      const restriction = decideRestriction({ record, veto, cancelled });
      if (restriction !== undefined) {
        return restriction;
      }
      const freshReports =
        reachable.length === 0
          ? undefined
          : reports.tryGetFreshReports(getMoveIdentity(record), reachable, now);
      const situation = { record, freshReports, stepSince, now, policy };
      const progress = decideProgress(situation, lease.generation);
      if (progress.kind === 'held') {
        holdReason = progress.reason;
        return undefined;
      }
      return progress.change;
    };
  }

  function createHoldLogs(): readonly MoveControllerEffect[] {
    const stored = writer.stored();
    if (holdReason === loggedHoldReason || stored === undefined) {
      return [];
    }
    loggedHoldReason = holdReason;
    if (holdReason === undefined) {
      return [];
    }
    const { record } = stored;
    const share = record.steps[record.step]?.share ?? 0;
    const move = getMoveIdentity(record);
    return [{ kind: 'logMoveDecision', decision: 'stepHeld', move, reason: holdReason, share }];
  }

  function advance(now: number): readonly MoveControllerEffect[] {
    const effects = writer.advanceTowards(createDecider(now), now);
    return [...effects, ...createHoldLogs()];
  }

  function handleNewerRecord(
    before: StoredMove | undefined,
    { record }: StoredMove,
    now: number,
  ): readonly MoveControllerEffect[] {
    if (before === undefined || !isSameMove(before.record, record)) {
      stepSince = now;
      reports.clear();
      return [];
    }
    if (before.record.step !== record.step) {
      stepSince = now;
    }
    return toMoveDecisionLogs(before.record, record);
  }

  function handleRecordSeen(stored: StoredMove, now: number): readonly MoveControllerEffect[] {
    const before = writer.stored();
    return writer.applyIfNewer(stored) ? handleNewerRecord(before, stored, now) : [];
  }

  function handleRecordAnswer(answer: RecordAnswer, now: number): readonly MoveControllerEffect[] {
    const before = writer.stored();
    const isNewer = writer.handleAnswer(answer, now);
    const stored = writer.stored();
    const isCurrent = 'stored' in answer && answer.stored?.version === stored?.version;
    if (stored === undefined || !isCurrent) {
      return advance(now);
    }
    // The local watch may have delivered this record before the answer, and watches elsewhere may have failed.
    return [
      ...(isNewer ? handleNewerRecord(before, stored, now) : []),
      { kind: 'announceRecord', stored },
      ...advance(now),
    ];
  }

  function handle(message: MoveControllerMessage, now: number): readonly MoveControllerEffect[] {
    return match(message)
      .with({ kind: 'leaseChanged' }, (changed) => {
        lease = changed.lease;
        return [];
      })
      .with({ kind: 'recordSeen' }, ({ stored }) => handleRecordSeen(stored, now))
      .with({ kind: 'recordAnswered' }, ({ answer }) => handleRecordAnswer(answer, now))
      .with({ kind: 'vetoHeard' }, (received) => {
        veto = received.veto;
        return advance(now);
      })
      .with({ kind: 'reportHeard' }, ({ report }) => {
        reports.add(report, now);
        return [];
      })
      .with({ kind: 'cancelRequested' }, ({ move }) => {
        cancelled = move;
        return advance(now);
      })
      .with({ kind: 'reachableChanged' }, ({ failureDomains }) => {
        reachable = failureDomains;
        return [];
      })
      .with({ kind: 'timePassed' }, () => advance(now))
      .exhaustive();
  }

  return { handle };
}
