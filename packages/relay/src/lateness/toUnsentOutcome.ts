import type { AbortReason, AttemptOutcome } from '../types';

/** Returns how an attempt ended that was aborted before its first byte was written. */
export default function toUnsentOutcome(reason: AbortReason): AttemptOutcome {
  switch (reason) {
    case 'callerGone':
      return { kind: 'notSent', reason };
    case 'timeout':
      return { kind: 'notSent', reason: 'deadlinePassed' };
    case 'stop':
      return { kind: 'notSent', reason: 'stopping' };
    case 'silent':
    case 'quarantined':
    case 'superseded':
      return { kind: 'aborted', reason };
    default:
      return reason satisfies never;
  }
}
