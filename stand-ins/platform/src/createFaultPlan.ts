import type { Random } from '@rattanreel/core';
import type { FaultyWrite, StoreFaults } from './types';

const NO_FAULTS: StoreFaults = {
  outage: 'none',
  extraLatency: 0,
  lostAnswerShare: 0,
  lateWriteShare: 0,
  lateWriteDelay: 0,
};

interface FaultPlan {
  getFaults(): StoreFaults;
  setFaults(changed: Partial<StoreFaults>): void;
  failNextWrite(fault: FaultyWrite): void;
  /** Decides what goes wrong with the write at hand. */
  tryTakeWriteFault(): FaultyWrite | undefined;
}

/** Which calls go wrong, and how. */
export default function createFaultPlan(random: Random): FaultPlan {
  const planned: FaultyWrite[] = [];
  let faults = NO_FAULTS;
  return {
    getFaults: () => faults,
    setFaults(changed) {
      faults = { ...faults, ...changed };
    },
    failNextWrite(fault) {
      planned.push(fault);
    },
    tryTakeWriteFault() {
      const next = planned.shift();
      if (next !== undefined) {
        return next;
      }
      if (random.next() < faults.lostAnswerShare) {
        return { kind: 'loseAnswer' };
      }
      return random.next() < faults.lateWriteShare
        ? { kind: 'landLate', delay: random.next() * faults.lateWriteDelay }
        : undefined;
    },
  };
}
