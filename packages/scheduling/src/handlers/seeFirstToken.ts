import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import type { FirstTokenSeen } from '../types';
import learnFirstToken from './learnFirstToken';

/** Notes that a slot's prompt has been computed, which makes room for the next prompt. */
export default function seeFirstToken(
  state: SchedulerState,
  seen: FirstTokenSeen,
  now: Milliseconds,
): void {
  const slot = state.ledger.tryGet(seen.request);
  if (slot === undefined || slot.firstTokenAt !== undefined) {
    return;
  }
  learnFirstToken(state, state.servers.get(slot.backendServer)!, slot, seen, now);
  grantQueued(state, now);
}
