import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import isSameMove from './isSameMove';
import type { DomainReport, MoveIdentity } from './types';

interface ReceivedReport {
  readonly report: DomainReport;
  readonly heardAt: number;
}

/** The last report of each failure domain. */
interface ReportCache {
  /** Keeps the evidence of the report before where this one leaves it out. */
  add(report: DomainReport, now: number): void;
  clear(): void;
  /** The last report of each failure domain about the move, however old. */
  getLatestReports(move: MoveIdentity): readonly DomainReport[];
  /** The fresh reports about the move, when each of the failure domains has one. */
  tryGetFreshReports(
    move: MoveIdentity,
    failureDomains: readonly FailureDomainId[],
    now: number,
  ): readonly DomainReport[] | undefined;
}

/** Keeps reports for `lifetime` after they were heard. */
export default function createReportCache(maximumAge: Milliseconds): ReportCache {
  const reports = new Map<FailureDomainId, ReceivedReport>();

  return {
    add(report, now) {
      const previous = reports.get(report.failureDomain)?.report;
      const units =
        report.units.length === 0 &&
        previous !== undefined &&
        isSameMove(previous.move, report.move)
          ? previous.units
          : report.units;
      reports.set(report.failureDomain, { report: { ...report, units }, heardAt: now });
    },
    clear() {
      reports.clear();
    },
    getLatestReports: (move) =>
      [...reports.values()]
        .map(({ report }) => report)
        .filter((report) => isSameMove(report.move, move)),
    tryGetFreshReports(move, failureDomains, now) {
      const freshReports = failureDomains.flatMap((failureDomain) => {
        const received = reports.get(failureDomain);
        const isFresh =
          received !== undefined &&
          now - received.heardAt <= maximumAge &&
          isSameMove(received.report.move, move);
        return isFresh ? [received.report] : [];
      });
      return freshReports.length === failureDomains.length ? freshReports : undefined;
    },
  };
}
