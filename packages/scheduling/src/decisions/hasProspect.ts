import type { SchedulerState } from './types';

/** Whether any backend server of the pool may get work again without a change of the pool. */
export default function hasProspect(state: SchedulerState): boolean {
  for (const server of state.servers.values()) {
    const isGoing = server.settings.drained || server.leaving;
    if (!isGoing && state.shares.hasShare(server.version)) {
      return true;
    }
  }
  return false;
}
