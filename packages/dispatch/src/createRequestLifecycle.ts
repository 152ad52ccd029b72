import type { RequestLifecycle, RequestState } from './types';

/** Creates the state machine of a request, in the state `queued`. */
export default function createRequestLifecycle(): RequestLifecycle {
  let state: RequestState = 'queued';
  let dispatched = false;

  function tryTransition(from: RequestState, to: RequestState): boolean {
    if (state !== from) {
      return false;
    }
    state = to;
    return true;
  }

  return {
    getState: () => state,
    tryGrant: () => tryTransition('queued', 'granted'),
    tryRequeue: () => tryTransition('granted', 'queued'),
    tryDispatch() {
      if (dispatched || !tryTransition('granted', 'dispatched')) {
        return false;
      }
      dispatched = true;
      return true;
    },
    tryRequeueUnsent() {
      if (!tryTransition('dispatched', 'queued')) {
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
