import type { Milliseconds } from '@rattanreel/core';
import type { FleetRole } from '../types';

/** Time for which a new host waits for state from its peers before it watches the store itself. */
const INITIAL_STATE_TIMEOUT: Milliseconds = 3_000;

interface StoreWatcherOptions {
  /** Undefined until the hosts have been listed. */
  readonly role: FleetRole | undefined;
  /** Whether this host knows a configuration and the backend servers. */
  readonly hasClusterState: boolean;
  /** Time since this process started. */
  readonly age: Milliseconds;
}

/**
 * Returns whether this host watches the platform's store. In a small fleet every host does. In a
 * large one the hosts that schedule a failure domain do and inform the others, so that the number
 * of store calls grows with the number of domains rather than hosts; the next candidate does
 * instead of a scheduler that cannot reach the store.
 */
export default function isStoreWatcher(options: StoreWatcherOptions): boolean {
  const { role, hasClusterState, age } = options;
  if (role === undefined || (!hasClusterState && age > INITIAL_STATE_TIMEOUT)) {
    return age > INITIAL_STATE_TIMEOUT;
  }
  return !role.isLarge || role.isGranting || role.isStoreSubstitute;
}
