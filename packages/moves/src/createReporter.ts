import type { DomainReport, MovePolicy, UnitEvidence } from './types';

/** Wealth from which evidence is told to the others without delay. */
const LEANING_WEALTH = 5;

/** Decides when a report is due and what it holds. */
interface Reporter {
  isDue(now: number): boolean;
  /** The report as it is to be sent now. */
  send(report: DomainReport, now: number): DomainReport;
}

function isLeaning(unit: UnitEvidence): boolean {
  const { failureRate, failureRatio, firstToken, betweenTokens } = unit;
  return Math.max(Math.min(failureRate, failureRatio), firstToken, betweenTokens) >= LEANING_WEALTH;
}

/** Paces the reports of one failure domain; evidence that leans no way goes out less often, to save messages. */
export default function createReporter(policy: MovePolicy): Reporter {
  let reportedAt = Number.NEGATIVE_INFINITY;
  let evidenceAt = Number.NEGATIVE_INFINITY;

  return {
    isDue: (now) => now - reportedAt >= policy.reportInterval,
    send(report, now) {
      reportedAt = now;
      if (now - evidenceAt < policy.evidenceInterval && !report.units.some(isLeaning)) {
        return { ...report, units: [] };
      }
      evidenceAt = now;
      return report;
    },
  };
}
