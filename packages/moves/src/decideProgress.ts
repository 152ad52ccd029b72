import type { Generation } from '@rattanreel/core';
import cannotMeetDeadline from './cannotMeetDeadline';
import hasEnoughEvidence from './hasEnoughEvidence';
import type { DomainReport, HoldReason, MoveProgress, MoveRecord, MoveSituation } from './types';

/** Returns the highest step that every reachable failure domain has reached, at least the recorded step. */
function getConfirmedStep(record: MoveRecord, freshReports: readonly DomainReport[]): number {
  return Math.max(record.step, Math.min(...freshReports.map(({ step }) => step)));
}

/** Returns why the next step must wait; undefined when it may be taken. */
function tryGetHoldReason(
  situation: MoveSituation,
  freshReports: readonly DomainReport[],
): HoldReason | undefined {
  const { record, now, policy } = situation;
  const next = record.steps[record.step + 1];
  if (next === undefined || now < next.notBefore) {
    return 'notDue';
  }
  if (freshReports.some(({ suspicious, vetoed }) => suspicious || vetoed)) {
    return 'suspicion';
  }
  if (freshReports.some(({ bearableShare }) => bearableShare < next.share)) {
    return 'tooLittleCapacity';
  }
  if (record.step < 0 || getConfirmedStep(record, freshReports) > record.step) {
    return undefined;
  }
  if (now < situation.stepSince + policy.minimumStepTime) {
    return 'stepTooYoung';
  }
  if (freshReports.some(({ step }) => step < record.step)) {
    return 'stepNotInForce';
  }
  const share = record.steps[record.step]?.share ?? 0;
  const reports = freshReports.filter(({ step }) => step === record.step);
  const isEnough = hasEnoughEvidence({ reports, share, policy: policy.evidence });
  return isEnough ? undefined : 'tooLittleEvidence';
}

function isFullShareConfirmed(record: MoveRecord, freshReports: readonly DomainReport[]): boolean {
  const last = record.steps.length - 1;
  return freshReports.every(({ step, share, vetoed }) => step === last && share === 1 && !vetoed);
}

function createHeldProgress(reason: HoldReason): MoveProgress {
  return { kind: 'held', reason };
}

function decideAtFullShare(
  { record, now }: MoveSituation,
  freshReports: readonly DomainReport[],
  controllerGeneration: Generation,
): MoveProgress {
  if (!isFullShareConfirmed(record, freshReports)) {
    return createHeldProgress('stepNotInForce');
  }
  if (record.fullShareAt === undefined) {
    const at = Math.max(...freshReports.map(({ stepSince }) => stepSince));
    return { kind: 'change', change: { kind: 'fullShare', at, controllerGeneration } };
  }
  if (freshReports.some(({ oldInFlight }) => oldInFlight > 0)) {
    return createHeldProgress('oldTraffic');
  }
  if (freshReports.some(({ suspicious }) => suspicious)) {
    return createHeldProgress('suspicion');
  }
  return now < record.fullShareAt + record.bakeTime
    ? createHeldProgress('baking')
    : { kind: 'change', change: { kind: 'done', controllerGeneration } };
}

/** Decides the next change that a controller makes to a move that is under way and neither vetoed nor cancelled. */
export default function decideProgress(
  situation: MoveSituation,
  controllerGeneration: Generation,
): MoveProgress {
  const { record, freshReports } = situation;
  if (!record.late && cannotMeetDeadline(situation)) {
    return { kind: 'change', change: { kind: 'late', controllerGeneration } };
  }
  if (freshReports === undefined) {
    return createHeldProgress('reportMissing');
  }
  if (record.step === record.steps.length - 1) {
    return decideAtFullShare(situation, freshReports, controllerGeneration);
  }
  const reason = tryGetHoldReason(situation, freshReports);
  if (reason !== undefined) {
    return createHeldProgress(reason);
  }
  const step = Math.max(record.step + 1, getConfirmedStep(record, freshReports));
  return { kind: 'change', change: { kind: 'step', step, controllerGeneration } };
}
