import type { Milliseconds } from '@rattanreel/core';
import type { MoveDecisionLogged, MoveRecord, MoveVerdict } from '@rattanreel/moves';
import type { MoveRun } from './types';

interface ShareSeen {
  readonly domain: number;
  readonly share: number;
}

/** Collects what a run shows. */
interface RunObserver {
  dispatched(isNew: boolean, isFaulty: boolean): void;
  finishedFaulty(now: Milliseconds): void;
  /** `isCutOff` tells whether the failure domain that decided can reach no other. */
  decided(decision: MoveDecisionLogged, isCutOff: boolean, now: Milliseconds): void;
  verdict(verdict: MoveVerdict): void;
  shares(shares: readonly ShareSeen[], now: Milliseconds): void;
  result(record: MoveRecord): MoveRun;
}

/** Watches one move; `shares` gets the reachable failure domains only. */
export default function createRunObserver(
  deadline: Milliseconds,
  failureDomains: number,
): RunObserver {
  const verdictsSaid = new Set<MoveVerdict>();
  let requests = 0;
  let faultyBeforeSeen = 0;
  let newAfterSeen = 0;
  let firstFaultyAt: Milliseconds | undefined;
  let seenAt: Milliseconds | undefined;
  let zeroAt: Milliseconds | undefined;
  let seenWhileCutOff = false;
  let shareWhenSeen = 0;
  let roseAfterVeto = false;
  let fullShareInTime = false;

  function observeVeto(shares: readonly ShareSeen[], now: Milliseconds): void {
    const isZero = shares.every(({ share }) => share === 0);
    if (seenAt !== undefined && isZero) {
      zeroAt ??= now;
    }
    roseAfterVeto ||= zeroAt !== undefined && !isZero;
  }

  return {
    dispatched(isNew, isFaulty) {
      requests += 1;
      if (seenAt === undefined) {
        faultyBeforeSeen += isFaulty ? 1 : 0;
      } else {
        newAfterSeen += isNew ? 1 : 0;
      }
    },
    finishedFaulty(now) {
      firstFaultyAt ??= now;
    },
    decided({ decision, share }, isCutOff, now) {
      if (decision === 'vetoed') {
        seenWhileCutOff ||= seenAt === undefined && isCutOff;
        seenAt ??= now;
      } else if (decision === 'takenBack' || decision === 'done' || decision === 'cancelled') {
        verdictsSaid.add(decision);
      }
      shareWhenSeen = Math.max(shareWhenSeen, seenAt === undefined ? share : 0);
    },
    verdict(verdict) {
      if (verdict !== 'underWay') {
        verdictsSaid.add(verdict);
      }
    },
    shares(shares, now) {
      observeVeto(shares, now);
      const isFull = shares.length === failureDomains && shares.every(({ share }) => share === 1);
      fullShareInTime ||= isFull && now <= deadline;
    },
    result: (record) => ({
      verdict: record.verdict,
      late: record.late,
      fullShareInTime,
      verdictsSaid: [...verdictsSaid],
      requests,
      faultyBeforeSeen,
      newAfterSeen,
      fromFirstFaultyToZero:
        zeroAt === undefined || firstFaultyAt === undefined ? undefined : zeroAt - firstFaultyAt,
      fromSeenToZero: zeroAt === undefined || seenAt === undefined ? undefined : zeroAt - seenAt,
      seenWhileCutOff,
      shareWhenSeen,
      roseAfterVeto,
    }),
  };
}
