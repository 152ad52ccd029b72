import type { EntryHostId, FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { DomainReport } from '../types';
import type { DomainReports } from './types';

/**
 * A failure domain without a report for this long counts as unreachable. Reports are sent every
 * 250 ms, and their receivers relay them with their summaries, usually every 200 ms.
 */
const REPORT_TTL: Milliseconds = 1_000;

interface ReceivedReport {
  readonly report: DomainReport;
  readonly receivedAt: Milliseconds;
}

/**
 * Holds the last reports of the other failure domains. If several reporters of a domain are
 * reachable, the report of the first one by name is in force.
 */
export default function createDomainReports(): DomainReports {
  const receivedByReporter = new Map<EntryHostId, ReceivedReport>();

  function listUnexpired(now: Milliseconds): readonly DomainReport[] {
    return [...receivedByReporter.values()]
      .filter(({ receivedAt }) => now - receivedAt <= REPORT_TTL)
      .map(({ report }) => report)
      .sort((left, right) => (left.entryHost < right.entryHost ? -1 : 1));
  }

  function tryGet(domain: FailureDomainId, now: Milliseconds): DomainReport | undefined {
    return listUnexpired(now).find(({ failureDomain }) => failureDomain === domain);
  }

  return {
    record(report, now) {
      const previous = receivedByReporter.get(report.entryHost)?.report;
      receivedByReporter.set(report.entryHost, { report, receivedAt: now });
      return previous;
    },
    tryGet,
    listCurrent(now) {
      const reports = listUnexpired(now);
      const domains = new Set(reports.map(({ failureDomain }) => failureDomain));
      return [...domains].flatMap(
        (domain) => reports.find(({ failureDomain }) => failureDomain === domain) ?? [],
      );
    },
  };
}
