import type { DomainReport, MovePolicy, SegmentEvidence } from './types';

/** Value of a test martingale from which the evidence is reported without delay. */
const URGENT_VALUE = 5;

/** Decides when a report is due and what it contains. */
interface ReportPacer {
  isDue(now: number): boolean;
  /** Returns the report to send now, with or without the evidence. */
  prepareReport(report: DomainReport, now: number): DomainReport;
}

function mustReportImmediately(segment: SegmentEvidence): boolean {
  const { failureRate, failureRatio, firstToken, betweenTokens } = segment;
  return Math.max(Math.min(failureRate, failureRatio), firstToken, betweenTokens) >= URGENT_VALUE;
}

/** Paces the reports of one failure domain; inconclusive evidence is sent less often, to keep messages small. */
export default function createReportPacer(policy: MovePolicy): ReportPacer {
  let reportedAt = Number.NEGATIVE_INFINITY;
  let evidenceReportedAt = Number.NEGATIVE_INFINITY;

  return {
    isDue: (now) => now - reportedAt >= policy.reportInterval,
    prepareReport(report, now) {
      reportedAt = now;
      if (
        now - evidenceReportedAt < policy.evidenceInterval &&
        !report.units.some(mustReportImmediately)
      ) {
        return { ...report, units: [] };
      }
      evidenceReportedAt = now;
      return report;
    },
  };
}
