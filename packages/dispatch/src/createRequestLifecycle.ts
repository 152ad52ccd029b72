import type { RequestLifecycle, RequestState } from './types';

/** Starts the life of a request as `queued`. */
export default function createRequestLifecycle(): RequestLifecycle {
  let state: RequestState = 'queued';
  let dispatched = false;

  function tryMove(from: RequestState, to: RequestState): boolean {
    if (state !== from) {
      return false;
    }
    state = to;
    return true;
  }

  return {
    state: () => state,
    tryGrant: () => tryMove('queued', 'granted'),
    tryRequeue: () => tryMove('granted', 'queued'),
    tryDispatch() {
      if (dispatched || !tryMove('granted', 'dispatched')) {
        return false;
      }
      dispatched = true;
      return true;
    },
    tryRequeueUnsent() {
      if (!tryMove('dispatched', 'queued')) {
        return false;
      }
      dispatched = false;
      return true;
    },
    tryEnd() {
      if (state === 'ended') {
        return false;
      }
      state = 'ended';
      return true;
    },
    isNotRun: () => !dispatched,
  };
}
