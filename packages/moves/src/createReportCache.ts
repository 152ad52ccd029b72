import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import isSameMove from './isSameMove';
import type { DomainReport, MoveIdentity } from './types';

interface ReceivedReport {
  readonly report: DomainReport;
  readonly heardAt: number;
}

/** Holds the last report of each failure domain. */
interface ReportCache {
  /** Stores a report; when it omits the evidence, that of the previous report about the same move is kept. */
  add(report: DomainReport, now: number): void;
  clear(): void;
  /** Returns the last report of each failure domain about the move, regardless of age. */
  getLatestReports(move: MoveIdentity): readonly DomainReport[];
  /** Returns the fresh reports about the move; undefined unless each of the failure domains has one. */
  tryGetFreshReports(
    move: MoveIdentity,
    failureDomains: readonly FailureDomainId[],
    now: number,
  ): readonly DomainReport[] | undefined;
}

/** Creates a cache in which a report is fresh up to `maximumAge` after it was received. */
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
