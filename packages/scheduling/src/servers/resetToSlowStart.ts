import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import setStanding from './setStanding';
import type { BackendServer } from './types';

/** Puts a backend server back to the start: its bound, its health and what it was known for. */
export default function resetToSlowStart(
  state: SchedulerState,
  server: BackendServer,
  reason: string,
  now: Milliseconds,
): void {
  server.streamLimit.restartSlowStart(now);
  server.health.reset();
  server.speed.discountHistory();
  server.prefixes.clear();
  if (server.standing === 'serving') {
    setStanding(state, server, 'slowStart', reason);
  }
}
