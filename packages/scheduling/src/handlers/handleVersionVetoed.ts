import type { Milliseconds } from '@rattanreel/core';
import flushUnservableQueue from '../decisions/flushUnservableQueue';
import type { SchedulerState } from '../decisions/types';
import type { VersionVetoed } from '../types';

/** Stops granting requests to a version. */
export default function handleVersionVetoed(
  state: SchedulerState,
  vetoed: VersionVetoed,
  now: Milliseconds,
): void {
  state.versionShares.veto(vetoed.version);
  state.poolThroughput = undefined;
  flushUnservableQueue(state, now);
}
