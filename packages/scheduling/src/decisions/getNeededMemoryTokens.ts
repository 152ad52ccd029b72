import type { BackendServer } from '../servers/types';
import type { GrantRequested } from '../types';
import type { SchedulerState } from './types';

/**
 * Share of an engine's memory that must be free before the engine admits a stream beside others.
 */
const HEADROOM_SHARE = 0.02;

/**
 * Returns the free memory, in tokens, that a request needs at a backend server so that no running
 * stream is evicted.
 */
export default function getNeededMemoryTokens(
  state: SchedulerState,
  grantRequest: GrantRequested,
  server: BackendServer,
): number {
  const headroom = server.inFlight.size === 0 ? 0 : server.memoryTokens * HEADROOM_SHARE;
  return state.workEstimates.getReservedTokens(grantRequest) + headroom;
}
