import type { AttemptOutcome } from '../types';
import type { BreakReason, ResponseRelay, RelayRequestOptions } from './types';

interface FailRequestOptions extends RelayRequestOptions {
  readonly response: ResponseRelay;
  readonly end: AttemptOutcome;
}

function getReason(end: AttemptOutcome): BreakReason {
  if (end.kind !== 'aborted') {
    return 'serverBroke';
  }
  switch (end.reason) {
    case 'timeout':
    case 'quarantined':
      return end.reason;
    case 'stop':
      return 'stopping';
    case 'callerGone':
    case 'silent':
    case 'superseded':
      return 'serverBroke';
    default:
      return end satisfies never;
  }
}

/** Fails a request after its last attempt; a truncated response must not look complete. */
export default function failRequest(options: FailRequestOptions): void {
  const { exchange, plan, response, end, observer } = options;
  const reason = getReason(end);
  if (response.isCommitted()) {
    observer.brokenOff(plan, reason);
    exchange.abort();
  } else {
    options.sendFailure(reason === 'timeout' ? 504 : 502, reason);
  }
}
