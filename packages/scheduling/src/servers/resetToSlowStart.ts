import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import setStanding from './setStanding';
import type { BackendServer } from './types';

/**
 * Resets a backend server to slow start: its stream limit, its health, its cached prefixes and the
 * weight of its earlier speed samples.
 */
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
