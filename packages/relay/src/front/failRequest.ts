import type { AttemptOutcome } from '../types';
import type { ResponseRelay, RelayRequestOptions } from './types';

interface FailRequestOptions extends RelayRequestOptions {
  readonly response: ResponseRelay;
  readonly end: AttemptOutcome;
}

/** Fails a request after its last attempt; a truncated response must not look complete. */
export default function failRequest(options: FailRequestOptions): void {
  const { exchange, plan, response, end, observer } = options;
  const isQuarantined = end.kind === 'aborted' && end.reason === 'quarantined';
  const isTimeout = end.kind === 'aborted' && end.reason === 'timeout';
  const failure = isQuarantined ? 'quarantined' : 'serverBroke';
  const reason = isTimeout ? 'timeout' : failure;
  if (response.isCommitted()) {
    observer.brokenOff(plan, reason);
    exchange.abort();
  } else {
    options.sendFailure(isTimeout ? 504 : 502, reason);
  }
}
