import type { EntryHostId, FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { DomainReport } from '../types';
import type { DomainReports } from './types';

/** A failure domain is silent after this time: its reports pass two more hosts, 250 ms and 200 ms each. */
const SILENT_AFTER: Milliseconds = 1_000;

interface HeardReport {
  readonly report: DomainReport;
  readonly at: Milliseconds;
}

/** The last reports of the other failure domains; of a domain's reporters in contact the first by name counts. */
export default function createDomainReports(): DomainReports {
  const heard = new Map<EntryHostId, HeardReport>();

  function listInContact(now: Milliseconds): readonly DomainReport[] {
    return [...heard.values()]
      .filter(({ at }) => now - at <= SILENT_AFTER)
      .map(({ report }) => report)
      .sort((left, right) => (left.entryHost < right.entryHost ? -1 : 1));
  }

  function tryGet(domain: FailureDomainId, now: Milliseconds): DomainReport | undefined {
    return listInContact(now).find(({ failureDomain }) => failureDomain === domain);
  }

  return {
    note(report, now) {
      const before = heard.get(report.entryHost)?.report;
      heard.set(report.entryHost, { report, at: now });
      return before;
    },
    tryGet,
    list(now) {
      const reports = listInContact(now);
      const domains = new Set(reports.map(({ failureDomain }) => failureDomain));
      return [...domains].flatMap(
        (domain) => reports.find(({ failureDomain }) => failureDomain === domain) ?? [],
      );
    },
  };
}
