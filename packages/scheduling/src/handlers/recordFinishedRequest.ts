import type { RequestId } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';

const MAXIMUM_FINISHED_REQUESTS = 20_000;

/**
 * Records a request that has been dispatched, so that a late repetition of it is not granted again.
 */
export default function recordFinishedRequest(state: SchedulerState, request: RequestId): void {
  state.finishedRequests.add(request);
  if (state.finishedRequests.size > MAXIMUM_FINISHED_REQUESTS) {
    state.finishedRequests.delete(state.finishedRequests.values().next().value!);
  }
}
