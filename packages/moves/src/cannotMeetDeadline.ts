import type { DomainReport, MoveSituation } from './types';

function getReachedStep(step: number, freshReports: readonly DomainReport[]): number {
  return Math.max(step, Math.min(...freshReports.map((report) => report.step)));
}

/** Whether full share cannot be reached by the deadline even if every step is taken as early as allowed. */
export default function cannotMeetDeadline(situation: MoveSituation): boolean {
  const { record, freshReports, now, policy } = situation;
  if (record.fullShareAt !== undefined) {
    return record.fullShareAt > record.deadline;
  }
  if (freshReports === undefined) {
    // Gives a controller that has just started the time to receive reports that the deadline was met.
    return now > Math.max(record.deadline, situation.stepSince) + policy.reportLifetime;
  }
  const last = record.steps.length - 1;
  const remaining = last - getReachedStep(record.step, freshReports);
  if (remaining > 0) {
    return now + (remaining - 1) * policy.minimumStepTime > record.deadline;
  }
  const isInForce = freshReports.every(({ step }) => step === last);
  const reachedAt = isInForce ? Math.max(...freshReports.map(({ stepSince }) => stepSince)) : now;
  return reachedAt > record.deadline;
}
