import type { RefusalReason } from '../types';
import type { ResponseRelay, RelayRequestOptions } from './types';

interface RefuseOrFailOptions extends RelayRequestOptions {
  readonly response: ResponseRelay;
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  readonly reason: RefusalReason;
}

/**
 * Ends a request that has no attempt in flight: refuses it when it certainly has not run, and
 * otherwise fails it.
 */
export default function refuseOrFail(options: RefuseOrFailOptions): void {
  const { exchange, response, mayHaveRun, reason } = options;
  if (response.isCommitted()) {
    exchange.abort();
  } else if (mayHaveRun) {
    options.sendFailure(reason === 'deadlinePassed' ? 504 : 502, reason);
  } else {
    options.refuse(reason);
  }
}
