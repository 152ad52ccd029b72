import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import resetToSlowStart from './resetToSlowStart';
import type { BackendServer } from './types';

/**
 * Takes a first token that is long overdue as a sign that the backend server has turned cold or slowed down,
 * before anything more is sent there.
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
