import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import isSameMove from './isSameMove';
import type { DomainReport, MoveIdentity } from './types';

interface TimedReport {
  readonly report: DomainReport;
  readonly heardAt: number;
}

/** The last report of each failure domain. */
interface ReportBook {
  /** Keeps the evidence of the report before where this one leaves it out. */
  add(report: DomainReport, now: number): void;
  clear(): void;
  /** The last report of each failure domain about the move, however old. */
  lastOf(move: MoveIdentity): readonly DomainReport[];
  /** The fresh reports about the move, when each of the failure domains has one. */
  tryGetAll(
    move: MoveIdentity,
    failureDomains: readonly FailureDomainId[],
    now: number,
  ): readonly DomainReport[] | undefined;
}

/** Keeps reports for `lifetime` after they were heard. */
export default function createReportBook(lifetime: Milliseconds): ReportBook {
  const reports = new Map<FailureDomainId, TimedReport>();

  return {
    add(report, now) {
      const before = reports.get(report.failureDomain)?.report;
      const units =
        report.units.length === 0 && before !== undefined && isSameMove(before.move, report.move)
          ? before.units
          : report.units;
      reports.set(report.failureDomain, { report: { ...report, units }, heardAt: now });
    },
    clear() {
      reports.clear();
    },
    lastOf: (move) =>
      [...reports.values()]
        .map(({ report }) => report)
        .filter((report) => isSameMove(report.move, move)),
    tryGetAll(move, failureDomains, now) {
      const found = failureDomains.flatMap((failureDomain) => {
        const timed = reports.get(failureDomain);
        const fresh =
          timed !== undefined &&
          now - timed.heardAt <= lifetime &&
          isSameMove(timed.report.move, move);
        return fresh ? [timed.report] : [];
      });
      return found.length === failureDomains.length ? found : undefined;
    },
  };
}
