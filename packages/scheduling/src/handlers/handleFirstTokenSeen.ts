import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import type { FirstTokenSeen } from '../types';
import recordFirstToken from './recordFirstToken';

/**
 * Records that a slot's prompt has been computed, which frees prefill capacity for the next prompt.
 */
export default function handleFirstTokenSeen(
  state: SchedulerState,
  seen: FirstTokenSeen,
  now: Milliseconds,
): void {
  const slot = state.slotTable.tryGet(seen.request);
  if (slot === undefined || slot.firstTokenAt !== undefined) {
    return;
  }
  recordFirstToken(state, state.servers.get(slot.backendServer)!, slot, seen, now);
  grantQueued(state, now);
}
