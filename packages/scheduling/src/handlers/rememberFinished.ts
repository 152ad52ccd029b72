import type { RequestId } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';

const FINISHED_KEPT = 20_000;

/** Remembers a request that has been dispatched, so that a late repetition of it is not granted again. */
export default function rememberFinished(state: SchedulerState, request: RequestId): void {
  state.finished.add(request);
  if (state.finished.size > FINISHED_KEPT) {
    state.finished.delete(state.finished.values().next().value!);
  }
}
