import type { FailureDomainId } from '@rattanreel/core';
import canStepLocally from './canStepLocally';
import createShareState from './createShareState';
import createRegressionDetector from './createRegressionDetector';
import decideRestriction from './decideRestriction';
import describeVeto from './describeVeto';
import getMoveIdentity from './getMoveIdentity';
import isLocalStepDue from './isLocalStepDue';
import toMoveDecisionLogs from './toMoveDecisionLogs';
import createOperatorVeto from './createOperatorVeto';
import getSharesInForce from './getSharesInForce';
import type {
  DomainReport,
  FollowedMove,
  DetectedRegression,
  MoveDecisionLogged,
  MoveGuardEffect,
  MovePolicy,
  MoveRecord,
  MoveVeto,
} from './types';

interface FollowedMoveOptions {
  readonly record: MoveRecord;
  readonly failureDomain: FailureDomainId;
  /** Number of failure domains that test the move. */
  readonly failureDomains: number;
  readonly policy: MovePolicy;
  readonly now: number;
  /** Wall time until which the new version gets no traffic, so that earlier vetoes can be received. */
  readonly settlesAt: number;
}

/** Tracks one move in one failure domain: its regression tests, its veto and the step in force. */
export default function createFollowedMove(options: FollowedMoveOptions): FollowedMove {
  const { failureDomain, policy, settlesAt } = options;
  const { pool, from, to } = options.record;
  const move = getMoveIdentity(options.record);
  const detector = createRegressionDetector({
    from,
    to,
    failureDomains: options.failureDomains,
    policy: policy.regressionTests,
  });
  let { record } = options;
  let veto: MoveVeto | undefined;
  let localStep = -1;
  let oldInFlight = 0;
  let bearableShare = 1;
  let stepSince = options.now;
  const shareState = createShareState(record, failureDomain);
  if (record.verdict === 'takenBack') {
    shareState.markRegressed();
  }

  function getStep(): number {
    return Math.max(record.step, localStep);
  }

  detector.beginStep(record.steps[getStep()]?.share ?? 0);

  function createDecisionLog(
    decision: MoveDecisionLogged['decision'],
    reason: string,
  ): MoveDecisionLogged {
    return { kind: 'logMoveDecision', decision, move, reason, share: shareState.share() };
  }

  function refreshShares(now: number): readonly MoveGuardEffect[] {
    // A regression detected before the move was known to be done stays in force; an operator's cancellation does not.
    const vetoed = veto !== undefined && (shareState.hasRegressed() || record.verdict !== 'done');
    const isSettling = record.verdict === 'underWay' && now < settlesAt;
    return shareState.applyShares(
      getSharesInForce({ record, vetoed: vetoed || isSettling, localStep }),
    );
  }

  function beginStep(now: number): void {
    stepSince = now;
    detector.beginStep(record.steps[getStep()]?.share ?? 0);
  }

  function createChangeLogs(before: MoveRecord): readonly MoveGuardEffect[] {
    const logs = toMoveDecisionLogs(before, record);
    return record.verdict === 'done' && before.verdict !== 'done' && shareState.hasRegressed()
      ? [
          ...logs,
          createDecisionLog('badnessAfterDone', 'the veto of this failure domain stays in force'),
        ]
      : logs;
  }

  function applyVeto(next: MoveVeto, now: number): readonly MoveGuardEffect[] {
    if (veto !== undefined && (shareState.hasRegressed() || next.reason.ground === 'operator')) {
      return [];
    }
    veto = next;
    if (next.reason.ground !== 'operator') {
      shareState.markRegressed();
    }
    return [
      { kind: 'vetoVersion', pool, version: to },
      ...refreshShares(now),
      { kind: 'announceVeto', veto: next },
      createDecisionLog('vetoed', describeVeto(next)),
    ];
  }

  function isTested(): boolean {
    return !shareState.hasRegressed() && record.verdict === 'underWay';
  }

  function raiseVeto(
    regression: DetectedRegression | undefined,
    now: number,
  ): readonly MoveGuardEffect[] {
    return regression === undefined
      ? []
      : applyVeto({ kind: 'moveVeto', move, reason: { ...regression, failureDomain } }, now);
  }

  function createReport(): DomainReport {
    return {
      kind: 'domainReport',
      move,
      failureDomain,
      generation: record.generation,
      step: getStep(),
      stepSince,
      share: shareState.share(),
      oldInFlight,
      suspicious: detector.isSuspicious(),
      vetoed: veto !== undefined,
      bearableShare,
      cells: detector.cells(),
      units: detector.segments(),
    };
  }

  return {
    record: () => record,
    veto: () => veto,
    applyVeto,
    createReport,
    refreshShares,
    shares: shareState.shares,
    decideChange: (current) => decideRestriction({ record: current, veto, cancelled: undefined }),
    updateRecord(next, now) {
      const before = record;
      const stepBefore = getStep();
      record = next;
      if (next.verdict === 'takenBack') {
        shareState.markRegressed();
      }
      if (getStep() !== stepBefore) {
        beginStep(now);
      }
      return [...refreshShares(now), ...createChangeLogs(before)];
    },
    observe: (evidence, now) => (isTested() ? raiseVeto(detector.observe(evidence, now), now) : []),
    testJointly: (freshReports, now) =>
      isTested()
        ? raiseVeto(detector.testJointly(freshReports.map(({ units }) => units)), now)
        : [],
    updateCounts(update) {
      if (update.kind === 'oldTrafficCounted') {
        oldInFlight = update.inFlight;
      } else {
        bearableShare = update.bearableShare;
      }
    },
    cancel(request, now) {
      if (record.verdict !== 'underWay') {
        return [createDecisionLog('cancelRefused', `the move is ${record.verdict} already`)];
      }
      return applyVeto(createOperatorVeto(request, failureDomain), now);
    },
    stepLocally(freshReports, now) {
      const step = getStep();
      const isDue = isLocalStepDue({ record, step, stepSince, now, policy });
      if (!isDue || now < settlesAt) {
        return [];
      }
      if (
        !canStepLocally({ record, ownReport: createReport(), otherReports: freshReports, policy })
      ) {
        return [];
      }
      localStep = step + 1;
      beginStep(now);
      const effects = refreshShares(now);
      const reason = 'pre-authorised, and the controller did not take the step in time';
      return [...effects, createDecisionLog('stepTakenLocally', reason)];
    },
  };
}
