import type { SchedulerState } from '../decisions/types';
import getIncarnationKey from '../getIncarnationKey';
import type { GrantWithdrawn } from '../types';

/**
 * Drops a queued request whose caller has gone. A slot granted already comes back by its release, since the
 * entry host alone knows whether it was dispatched.
 */
export default function withdrawGrant(state: SchedulerState, withdrawn: GrantWithdrawn): void {
  const queued = state.queue.tryGet(withdrawn.request);
  if (
    queued !== undefined &&
    getIncarnationKey(queued.asked.from) === getIncarnationKey(withdrawn.from)
  ) {
    state.queue.remove(queued);
  }
}
