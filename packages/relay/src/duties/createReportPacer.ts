import type { Milliseconds } from '@rattanreel/core';

interface ReportPacer {
  /** Returns the time since which changes are due; undefined if no report is due. */
  tryTake(now: Milliseconds, interval: Milliseconds): Milliseconds | undefined;
}

/** Paces reports so that each change is in two of them: messages may be lost. */
export default function createReportPacer(): ReportPacer {
  let lastSentAt = -Infinity;
  let previousSentAt = -Infinity;
  return {
    tryTake(now, interval) {
      if (now - lastSentAt < interval) {
        return undefined;
      }
      const since = previousSentAt;
      previousSentAt = lastSentAt;
      lastSentAt = now;
      return since;
    },
  };
}
