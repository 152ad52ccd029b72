import type { Refusal, RelayRequestOptions, ResponseRelay } from './types';

interface RefuseOrFailOptions extends RelayRequestOptions {
  readonly response: ResponseRelay;
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  readonly refusal: Refusal;
  /** Refunds what the customer was charged for the request. */
  readonly refund: () => void;
}

/**
 * Ends a request that has no attempt in flight: refuses it when it certainly has not run, and
 * otherwise fails it.
 */
export default function refuseOrFail(options: RefuseOrFailOptions): void {
  const { exchange, response, mayHaveRun, refusal } = options;
  if (response.isCommitted()) {
    options.observer.brokenOff(
      options.plan,
      refusal.reason === 'stopping' ? 'stopping' : 'serverBroke',
    );
    exchange.abort();
  } else if (mayHaveRun) {
    const { reason } = refusal;
    options.sendFailure(reason === 'deadlinePassed' ? 504 : 502, reason);
  } else {
    options.refund();
    options.refuse(refusal);
  }
}
