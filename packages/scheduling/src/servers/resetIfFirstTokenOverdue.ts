import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import resetToSlowStart from './resetToSlowStart';
import type { BackendServer } from './types';

/**
 * Resets a backend server to slow start when its oldest pending first token is long overdue, which
 * indicates that it is cold or has slowed down. Runs before anything more is granted there.
 */
export default function resetIfFirstTokenOverdue(
  state: SchedulerState,
  server: BackendServer,
  now: Milliseconds,
): void {
  if (server.overdueAt > now) {
    return;
  }
  server.overdueAt = Number.POSITIVE_INFINITY;
  const oldest = server.awaitingFirstToken.values().next().value;
  if (oldest !== undefined) {
    oldest.overdueAt = Number.POSITIVE_INFINITY;
    resetToSlowStart(state, server, 'first token overdue', now);
  }
}
