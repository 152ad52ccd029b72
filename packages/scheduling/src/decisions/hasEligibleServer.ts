import type { SchedulerState } from './types';

/**
 * Whether any backend server of the pool may get requests, now or later, while the pool's
 * configuration stays as it is.
 */
export default function hasEligibleServer(state: SchedulerState): boolean {
  for (const server of state.servers.values()) {
    const isDrainedOrLeaving = server.settings.drained || server.leaving;
    if (!isDrainedOrLeaving && state.versionShares.hasShare(server.version)) {
      return true;
    }
  }
  return false;
}
