import type { DomainReport, MovePolicy, SegmentEvidence } from './types';

/** Wealth from which evidence is told to the others without delay. */
const NOTABLE_VALUE = 5;

/** Decides when a report is due and what it holds. */
interface ReportPacer {
  isDue(now: number): boolean;
  /** The report as it is to be sent now. */
  prepareReport(report: DomainReport, now: number): DomainReport;
}

function isNotable(unit: SegmentEvidence): boolean {
  const { failureRate, failureRatio, firstToken, betweenTokens } = unit;
  return Math.max(Math.min(failureRate, failureRatio), firstToken, betweenTokens) >= NOTABLE_VALUE;
}

/** Paces the reports of one failure domain; evidence that leans no way goes out less often, to save messages. */
export default function createReportPacer(policy: MovePolicy): ReportPacer {
  let reportedAt = Number.NEGATIVE_INFINITY;
  let evidenceReportedAt = Number.NEGATIVE_INFINITY;

  return {
    isDue: (now) => now - reportedAt >= policy.reportInterval,
    prepareReport(report, now) {
      reportedAt = now;
      if (now - evidenceReportedAt < policy.evidenceInterval && !report.units.some(isNotable)) {
        return { ...report, units: [] };
      }
      evidenceReportedAt = now;
      return report;
    },
  };
}
