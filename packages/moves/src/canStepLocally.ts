import hasEnoughEvidence from './hasEnoughEvidence';
import type { DomainReport, MovePolicy, MoveRecord } from './types';

interface LocalStepOptions {
  readonly record: MoveRecord;
  /** This failure domain's own report. */
  readonly ownReport: DomainReport;
  /** Fresh reports of every other failure domain. */
  readonly otherReports: readonly DomainReport[];
  readonly policy: MovePolicy;
}

/**
 * Whether a failure domain may take its next step, pre-authorised and overdue, without the controller: all failure
 * domains report this step or a later one, none suspects or has vetoed the version, each has the capacity for the next
 * share, and there is enough evidence. The first step, and a step that another failure domain has taken,
 * need no evidence.
 */
export default function canStepLocally(options: LocalStepOptions): boolean {
  const { record, ownReport, otherReports, policy } = options;
  const { step } = ownReport;
  const next = record.steps[step + 1];
  if (next === undefined || record.verdict !== 'underWay') {
    return false;
  }
  const reports = [...otherReports, ownReport];
  if (reports.some((report) => report.step < step || report.suspicious || report.vetoed)) {
    return false;
  }
  if (reports.some(({ bearableShare }) => bearableShare < next.share)) {
    return false;
  }
  if (step < 0 || otherReports.some((report) => report.step > step)) {
    return true;
  }
  const share = record.steps[step]?.share ?? 0;
  return hasEnoughEvidence({ reports, share, policy: policy.evidence });
}
