import type { Random } from '@rattanreel/core';
import type { WriteFault, StoreFaults } from './types';

const NO_FAULTS: StoreFaults = {
  outage: 'none',
  extraLatency: 0,
  lostAnswerShare: 0,
  lateWriteShare: 0,
  maximumLateWriteDelay: 0,
};

interface FaultPlan {
  getFaults(): StoreFaults;
  setFaults(changed: Partial<StoreFaults>): void;
  failNextWrite(fault: WriteFault): void;
  /** Returns the fault of the current write; `undefined` if it succeeds. */
  tryDrawWriteFault(): WriteFault | undefined;
}

/** Creates a plan of the faults that calls are subject to. */
export default function createFaultPlan(random: Random): FaultPlan {
  const plannedWriteFaults: WriteFault[] = [];
  let faults = NO_FAULTS;
  return {
    getFaults: () => faults,
    setFaults(changed) {
      faults = { ...faults, ...changed };
    },
    failNextWrite(fault) {
      plannedWriteFaults.push(fault);
    },
    tryDrawWriteFault() {
      const next = plannedWriteFaults.shift();
      if (next !== undefined) {
        return next;
      }
      if (random.next() < faults.lostAnswerShare) {
        return { kind: 'loseAnswer' };
      }
      return random.next() < faults.lateWriteShare
        ? { kind: 'landLate', delay: random.next() * faults.maximumLateWriteDelay }
        : undefined;
    },
  };
}
