import { createRequestLifecycle } from '@rattanreel/dispatch';
import { Debug } from '@rattanreel/core';

interface DispatchMarkOptions {
  readonly requestId: string;
  /** Whether the request may run more than once, so that it needs no mark. */
  readonly isRetryable: boolean;
}

interface DispatchMark {
  /**
   * Marks a request that may run only once as dispatched, before its first byte is written. Returns
   * false when the request must not be dispatched.
   */
  trySet(): boolean;
  /** Removes the mark of a request that was not sent, or did not run. */
  tryRemoveUnsent(): void;
  end(): void;
}

/** Makes sure that a request which may run only once is dispatched once. */
export default function createDispatchMark(options: DispatchMarkOptions): DispatchMark {
  const { requestId, isRetryable } = options;
  const lifecycle = createRequestLifecycle();

  return {
    trySet() {
      const isFirst = isRetryable || (lifecycle.tryGrant() && lifecycle.tryDispatch());
      return Debug.invariant(isFirst, 'dispatched-twice', () => `request ${requestId}`);
    },
    tryRemoveUnsent: () => lifecycle.tryRequeueUnsent(),
    end: () => lifecycle.tryEnd(),
  };
}
