import type { Submission } from './types';

/** Returns whether a submission was answered "not run". */
export default function isRefusal({ outcome }: Submission): boolean {
  return (
    outcome?.kind === 'result' &&
    outcome.result.kind === 'error' &&
    outcome.result.error.execution === 'not-run'
  );
}
