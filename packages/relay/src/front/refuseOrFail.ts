import type { RefusalReason } from '../types';
import type { ResponseRelay, RelayRequestOptions } from './types';

interface RefuseOrFailOptions extends RelayRequestOptions {
  readonly response: ResponseRelay;
  /** Whether an attempt before this one may have run. */
  readonly mayHaveRun: boolean;
  readonly reason: RefusalReason;
}

/** Ends a request that no backend server is running: refused when it certainly has not run, failed otherwise. */
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
