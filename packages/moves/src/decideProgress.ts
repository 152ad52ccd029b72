import type { Generation } from '@rattanreel/core';
import cannotMeetDeadline from './cannotMeetDeadline';
import hasEnoughEvidence from './hasEnoughEvidence';
import type { DomainReport, HoldReason, MoveProgress, MoveRecord, MoveSituation } from './types';

/** The lowest step that every reachable failure domain has in force. */
function getConfirmedStep(record: MoveRecord, heard: readonly DomainReport[]): number {
  return Math.max(record.step, Math.min(...heard.map(({ step }) => step)));
}

/** Why the next step has to wait; undefined when it may be taken. */
function tryGetHoldReason(
  situation: MoveSituation,
  heard: readonly DomainReport[],
): HoldReason | undefined {
  const { record, now, policy } = situation;
  const next = record.steps[record.step + 1];
  if (next === undefined || now < next.notBefore) {
    return 'notDue';
  }
  if (heard.some(({ suspicious, vetoed }) => suspicious || vetoed)) {
    return 'suspicion';
  }
  if (heard.some(({ bearableShare }) => bearableShare < next.share)) {
    return 'tooLittleCapacity';
  }
  if (record.step < 0 || getConfirmedStep(record, heard) > record.step) {
    return undefined;
  }
  if (now < situation.stepSince + policy.minimumStepTime) {
    return 'stepTooYoung';
  }
  if (heard.some(({ step }) => step < record.step)) {
    return 'stepNotInForce';
  }
  const share = record.steps[record.step]?.share ?? 0;
  const reports = heard.filter(({ step }) => step === record.step);
  const isEnough = hasEnoughEvidence({ reports, share, policy: policy.evidence });
  return isEnough ? undefined : 'tooLittleEvidence';
}

function isFullShareConfirmed(record: MoveRecord, heard: readonly DomainReport[]): boolean {
  const last = record.steps.length - 1;
  return heard.every(({ step, share, vetoed }) => step === last && share === 1 && !vetoed);
}

function held(reason: HoldReason): MoveProgress {
  return { kind: 'held', reason };
}

function decideAtFullShare(
  { record, now }: MoveSituation,
  heard: readonly DomainReport[],
  controllerGeneration: Generation,
): MoveProgress {
  if (!isFullShareConfirmed(record, heard)) {
    return held('stepNotInForce');
  }
  if (record.fullShareAt === undefined) {
    const at = Math.max(...heard.map(({ stepSince }) => stepSince));
    return { kind: 'change', change: { kind: 'fullShare', at, controllerGeneration } };
  }
  if (heard.some(({ oldInFlight }) => oldInFlight > 0)) {
    return held('oldTraffic');
  }
  if (heard.some(({ suspicious }) => suspicious)) {
    return held('suspicion');
  }
  return now < record.fullShareAt + record.bakeTime
    ? held('baking')
    : { kind: 'change', change: { kind: 'done', controllerGeneration } };
}

/** The next change that a controller makes of a move under way with nothing against it. */
export default function decideProgress(
  situation: MoveSituation,
  controllerGeneration: Generation,
): MoveProgress {
  const { record, heard } = situation;
  if (!record.late && cannotMeetDeadline(situation)) {
    return { kind: 'change', change: { kind: 'late', controllerGeneration } };
  }
  if (heard === undefined) {
    return held('reportMissing');
  }
  if (record.step === record.steps.length - 1) {
    return decideAtFullShare(situation, heard, controllerGeneration);
  }
  const reason = tryGetHoldReason(situation, heard);
  if (reason !== undefined) {
    return held(reason);
  }
  const step = Math.max(record.step + 1, getConfirmedStep(record, heard));
  return { kind: 'change', change: { kind: 'step', step, controllerGeneration } };
}
