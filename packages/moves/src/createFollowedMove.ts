import type { FailureDomainId } from '@rattanreel/core';
import canStepLocally from './canStepLocally';
import createShareKeeper from './createShareKeeper';
import createVersionJudge from './createVersionJudge';
import decideRestriction from './decideRestriction';
import describeVeto from './describeVeto';
import identifyMove from './identifyMove';
import isLocalStepDue from './isLocalStepDue';
import logRecordChange from './logRecordChange';
import makeOperatorVeto from './makeOperatorVeto';
import sharesInForce from './sharesInForce';
import type {
  DomainReport,
  FollowedMove,
  JudgedBadness,
  MoveDecisionLogged,
  MoveGuardEffect,
  MovePolicy,
  MoveRecord,
  MoveVeto,
} from './types';

interface FollowedMoveOptions {
  readonly record: MoveRecord;
  readonly failureDomain: FailureDomainId;
  /** Number of failure domains that judge the move. */
  readonly failureDomains: number;
  readonly policy: MovePolicy;
  readonly now: number;
  /** Wall time until which the new version gets nothing, so that earlier vetoes can be heard. */
  readonly settledAt: number;
}

/** Follows one move in one failure domain: its judgement, its veto and the step in force. */
export default function createFollowedMove(options: FollowedMoveOptions): FollowedMove {
  const { failureDomain, policy, settledAt } = options;
  const { pool, from, to } = options.record;
  const move = identifyMove(options.record);
  const judge = createVersionJudge({
    from,
    to,
    failureDomains: options.failureDomains,
    policy: policy.judge,
  });
  let { record } = options;
  let veto: MoveVeto | undefined;
  let localStep = -1;
  let oldInFlight = 0;
  let bearableShare = 1;
  let stepSince = options.now;
  const keeper = createShareKeeper(record, failureDomain);
  if (record.verdict === 'takenBack') {
    keeper.markBad();
  }

  function getStep(): number {
    return Math.max(record.step, localStep);
  }

  judge.beginStep(record.steps[getStep()]?.share ?? 0);

  function log(decision: MoveDecisionLogged['decision'], reason: string): MoveDecisionLogged {
    return { kind: 'logMoveDecision', decision, move, reason, share: keeper.share() };
  }

  function refreshShares(now: number): readonly MoveGuardEffect[] {
    // Badness found before the move was seen to be done goes on to count; an operator's cancellation does not.
    const vetoed = veto !== undefined && (keeper.isBad() || record.verdict !== 'done');
    const isSettling = record.verdict === 'underWay' && now < settledAt;
    return keeper.give(sharesInForce({ record, vetoed: vetoed || isSettling, localStep }));
  }

  function beginStep(now: number): void {
    stepSince = now;
    judge.beginStep(record.steps[getStep()]?.share ?? 0);
  }

  function logChange(before: MoveRecord): readonly MoveGuardEffect[] {
    const logged = logRecordChange(before, record);
    return record.verdict === 'done' && before.verdict !== 'done' && keeper.isBad()
      ? [...logged, log('badnessAfterDone', 'the veto here stays in force')]
      : logged;
  }

  function applyVeto(next: MoveVeto, now: number): readonly MoveGuardEffect[] {
    if (veto !== undefined && (keeper.isBad() || next.reason.ground === 'operator')) {
      return [];
    }
    veto = next;
    if (next.reason.ground !== 'operator') {
      keeper.markBad();
    }
    return [
      { kind: 'vetoVersion', pool, version: to },
      ...refreshShares(now),
      { kind: 'announceVeto', veto: next },
      log('vetoed', describeVeto(next)),
    ];
  }

  function isJudged(): boolean {
    return !keeper.isBad() && record.verdict === 'underWay';
  }

  function vetoBadness(
    badness: JudgedBadness | undefined,
    now: number,
  ): readonly MoveGuardEffect[] {
    return badness === undefined
      ? []
      : applyVeto({ kind: 'moveVeto', move, reason: { ...badness, failureDomain } }, now);
  }

  function makeReport(): DomainReport {
    return {
      kind: 'domainReport',
      move,
      failureDomain,
      generation: record.generation,
      step: getStep(),
      stepSince,
      share: keeper.share(),
      oldInFlight,
      suspicious: judge.isSuspicious(),
      vetoed: veto !== undefined,
      bearableShare,
      cells: judge.cells(),
      units: judge.units(),
    };
  }

  return {
    record: () => record,
    veto: () => veto,
    applyVeto,
    makeReport,
    refreshShares,
    shares: keeper.shares,
    decide: (current) => decideRestriction({ record: current, veto, cancelled: undefined }),
    updateRecord(next, now) {
      const before = record;
      const stepBefore = getStep();
      record = next;
      if (next.verdict === 'takenBack') {
        keeper.markBad();
      }
      if (getStep() !== stepBefore) {
        beginStep(now);
      }
      return [...refreshShares(now), ...logChange(before)];
    },
    observe: (evidence, now) => (isJudged() ? vetoBadness(judge.observe(evidence, now), now) : []),
    judgeTogether: (heard, now) =>
      isJudged() ? vetoBadness(judge.judgeTogether(heard.map(({ units }) => units)), now) : [],
    count(counted) {
      if (counted.kind === 'oldTrafficCounted') {
        oldInFlight = counted.inFlight;
      } else {
        bearableShare = counted.bearableShare;
      }
    },
    cancel(request, now) {
      if (record.verdict !== 'underWay') {
        return [log('cancelRefused', `the move is ${record.verdict} already`)];
      }
      return applyVeto(makeOperatorVeto(request, failureDomain), now);
    },
    stepLocally(heard, now) {
      const step = getStep();
      const isDue = isLocalStepDue({ record, step, stepSince, now, policy });
      if (!isDue || now < settledAt) {
        return [];
      }
      if (!canStepLocally({ record, own: makeReport(), heard, policy })) {
        return [];
      }
      localStep = step + 1;
      beginStep(now);
      const effects = refreshShares(now);
      const reason = 'pre-authorised, and the controller has not spoken in time';
      return [...effects, log('stepTakenLocally', reason)];
    },
  };
}
