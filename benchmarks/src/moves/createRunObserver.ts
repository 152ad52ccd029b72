import type { Milliseconds } from '@rattanreel/core';
import type { MoveDecisionLogged, MoveRecord, MoveVerdict } from '@rattanreel/moves';
import type { MoveRun } from './types';

interface ObservedShare {
  readonly domain: number;
  readonly share: number;
}

/** Collects the observations of a run. */
interface RunObserver {
  recordDispatch(isNew: boolean, isFaulty: boolean): void;
  recordFaultyCompletion(now: Milliseconds): void;
  /** `isPartitioned`: whether the failure domain that decided cannot reach any other. */
  recordDecision(decision: MoveDecisionLogged, isPartitioned: boolean, now: Milliseconds): void;
  recordVerdict(verdict: MoveVerdict): void;
  recordShares(shares: readonly ObservedShare[], now: Milliseconds): void;
  getResult(record: MoveRecord): MoveRun;
}

/** Creates an observer of one move; `recordShares` takes the reachable failure domains only. */
export default function createRunObserver(
  deadline: Milliseconds,
  failureDomains: number,
): RunObserver {
  const observedVerdicts = new Set<MoveVerdict>();
  let requests = 0;
  let faultyBeforeDetection = 0;
  let newAfterDetection = 0;
  let firstFaultyAt: Milliseconds | undefined;
  let detectedAt: Milliseconds | undefined;
  let zeroAt: Milliseconds | undefined;
  let detectedWhilePartitioned = false;
  let shareAtDetection = 0;
  let roseAfterVeto = false;
  let fullShareInTime = false;

  function recordZeroShare(shares: readonly ObservedShare[], now: Milliseconds): void {
    const isZero = shares.every(({ share }) => share === 0);
    if (detectedAt !== undefined && isZero) {
      zeroAt ??= now;
    }
    roseAfterVeto ||= zeroAt !== undefined && !isZero;
  }

  return {
    recordDispatch(isNew, isFaulty) {
      requests += 1;
      if (detectedAt === undefined) {
        faultyBeforeDetection += isFaulty ? 1 : 0;
      } else {
        newAfterDetection += isNew ? 1 : 0;
      }
    },
    recordFaultyCompletion(now) {
      firstFaultyAt ??= now;
    },
    recordDecision({ decision, share }, isPartitioned, now) {
      if (decision === 'vetoed') {
        detectedWhilePartitioned ||= detectedAt === undefined && isPartitioned;
        detectedAt ??= now;
      } else if (decision === 'takenBack' || decision === 'done' || decision === 'cancelled') {
        observedVerdicts.add(decision);
      }
      shareAtDetection = Math.max(shareAtDetection, detectedAt === undefined ? share : 0);
    },
    recordVerdict(verdict) {
      if (verdict !== 'underWay') {
        observedVerdicts.add(verdict);
      }
    },
    recordShares(shares, now) {
      recordZeroShare(shares, now);
      const isFull = shares.length === failureDomains && shares.every(({ share }) => share === 1);
      fullShareInTime ||= isFull && now <= deadline;
    },
    getResult: (record) => ({
      verdict: record.verdict,
      late: record.late,
      fullShareInTime,
      observedVerdicts: [...observedVerdicts],
      requests,
      faultyBeforeDetection,
      newAfterDetection,
      fromFirstFaultyToZero:
        zeroAt === undefined || firstFaultyAt === undefined ? undefined : zeroAt - firstFaultyAt,
      fromDetectionToZero:
        zeroAt === undefined || detectedAt === undefined ? undefined : zeroAt - detectedAt,
      detectedWhilePartitioned,
      shareAtDetection,
      roseAfterVeto,
    }),
  };
}
