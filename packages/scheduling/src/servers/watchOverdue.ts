import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import turnCold from './turnCold';
import type { BackendServer } from './types';

/**
 * Takes a first token that is long overdue as a sign that the backend server has turned cold or slowed down,
 * before anything more is sent there.
 */
export default function watchOverdue(
  state: SchedulerState,
  server: BackendServer,
  now: Milliseconds,
): void {
  if (server.overdueAt > now) {
    return;
  }
  server.overdueAt = Number.POSITIVE_INFINITY;
  const oldest = server.pending.values().next().value;
  if (oldest !== undefined) {
    oldest.overdueAt = Number.POSITIVE_INFINITY;
    turnCold(state, server, 'first token overdue', now);
  }
}
