import type { MovePolicy, MoveRecord } from './types';

interface LocalStepDueOptions {
  readonly record: MoveRecord;
  /** Index of the step in force in the failure domain. */
  readonly step: number;
  /** Wall time since which the step has been in force. */
  readonly stepSince: number;
  readonly now: number;
  readonly policy: MovePolicy;
}

/** Whether the next step is pre-authorised and the controller has not taken it within the grace period. */
export default function isLocalStepDue(options: LocalStepDueOptions): boolean {
  const { record, step, stepSince, now, policy } = options;
  const next = record.steps[step + 1];
  return (
    next !== undefined &&
    step + 1 <= record.preAuthorisedThrough &&
    now >= next.notBefore + policy.localStepGrace &&
    now >= stepSince + policy.minimumStepTime
  );
}
