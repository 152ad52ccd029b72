import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import getIncarnationKey from '../getIncarnationKey';
import type { GrantWithdrawn } from '../types';

/**
 * Removes a queued request whose caller has disconnected. A slot that is granted but not in use is
 * released at once: an entry host that has withdrawn a request does not use its grant.
 */
export default function handleGrantWithdrawn(
  state: SchedulerState,
  withdrawn: GrantWithdrawn,
  now: Milliseconds,
): void {
  const from = getIncarnationKey(withdrawn.from);
  const queued = state.queue.tryGet(withdrawn.request);
  if (queued !== undefined && getIncarnationKey(queued.grantRequest.from) === from) {
    state.queue.remove(queued);
  }
  const deferred = state.deferredRefusals.tryGet(withdrawn.request);
  if (deferred !== undefined && getIncarnationKey(deferred.grantRequest.from) === from) {
    state.deferredRefusals.remove(deferred);
  }
  const slot = state.slotTable.tryGet(withdrawn.request);
  if (slot?.grant !== undefined && getIncarnationKey(slot.from) === from) {
    state.slotTable.release(state.servers.get(slot.backendServer)!, slot, now);
    grantQueued(state, now);
  }
}
