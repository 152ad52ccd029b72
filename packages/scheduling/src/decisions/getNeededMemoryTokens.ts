import type { BackendServer } from '../servers/types';
import type { GrantRequested } from '../types';
import type { SchedulerState } from './types';

/** Share of the memory that an engine wants free before it admits a stream beside others. */
const HEADROOM_SHARE = 0.02;

/** Free memory that a request needs at a backend server so that nothing running there is evicted. */
export default function getNeededMemoryTokens(
  state: SchedulerState,
  grantRequest: GrantRequested,
  server: BackendServer,
): number {
  const headroom = server.inFlight.size === 0 ? 0 : server.memoryTokens * HEADROOM_SHARE;
  return state.workEstimates.getReservedTokens(grantRequest) + headroom;
}
