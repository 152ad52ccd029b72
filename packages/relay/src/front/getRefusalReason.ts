import type { AttemptOutcome, RefusalReason } from '../types';

/** Returns why a request is refused whose last attempt did not run. */
export default function getRefusalReason(end: AttemptOutcome): RefusalReason {
  if (end.kind === 'notSent') {
    return end.reason === 'stopping' ? 'stopping' : 'deadlinePassed';
  }
  return end.kind === 'notRun' ? 'serverFull' : 'notConnected';
}
