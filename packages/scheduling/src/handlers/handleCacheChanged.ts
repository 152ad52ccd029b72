import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import resetToSlowStart from '../servers/resetToSlowStart';
import type { CacheChanged } from '../types';

/**
 * Applies a change of a backend server's prefix cache; a backend server that has lost its cache
 * counts as cold.
 */
export default function handleCacheChanged(
  state: SchedulerState,
  changed: CacheChanged,
  now: Milliseconds,
): void {
  const server = state.servers.get(changed.backendServer);
  const { sequence, added, removed } = changed;
  if (server?.prefixes.applyChange(sequence, added, removed)) {
    resetToSlowStart(state, server, 'cache lost', now);
  }
}
