import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import turnCold from '../servers/turnCold';
import type { CacheChanged } from '../types';

/** Takes a change of a backend server's prefix cache; one that has lost its cache counts as cold. */
export default function changeCache(
  state: SchedulerState,
  changed: CacheChanged,
  now: Milliseconds,
): void {
  const server = state.servers.get(changed.backendServer);
  const { sequence, added, removed } = changed;
  if (server?.prefixes.changed(sequence, added, removed)) {
    turnCold(state, server, 'cache lost', now);
  }
}
