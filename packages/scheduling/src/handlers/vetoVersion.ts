import type { Milliseconds } from '@rattanreel/core';
import abandonQueue from '../decisions/abandonQueue';
import type { SchedulerState } from '../decisions/types';
import type { VersionVetoed } from '../types';

/** Gives a version nothing more. */
export default function vetoVersion(
  state: SchedulerState,
  vetoed: VersionVetoed,
  now: Milliseconds,
): void {
  state.shares.veto(vetoed.version);
  state.poolSpeed = undefined;
  abandonQueue(state, now);
}
