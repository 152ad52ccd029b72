import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from '../servers/types';
import resetIfFirstTokenOverdue from '../servers/resetIfFirstTokenOverdue';
import type { RejectedAlternative, RejectionReason } from '../types';
import tryGetCapacityRejection from './tryGetCapacityRejection';
import type { SchedulerState, ServerAvailability } from './types';

const MAXIMUM_ALTERNATIVES = 8;

function tryGetStandingRejection(server: BackendServer): RejectionReason | undefined {
  if (server.settings.drained) {
    return 'drained';
  }
  if (server.leaving) {
    return 'leaving';
  }
  if (!server.ready) {
    return 'notReady';
  }
  return server.standing === 'ejected' ? 'ejected' : undefined;
}

/** Finds the backend servers that can take another stream now. */
export default function findAvailableServers(
  state: SchedulerState,
  now: Milliseconds,
): ServerAvailability {
  const available: BackendServer[] = [];
  const unavailable: RejectedAlternative[] = [];
  for (const server of state.servers.values()) {
    resetIfFirstTokenOverdue(state, server, now);
    const reason = tryGetStandingRejection(server) ?? tryGetCapacityRejection(server, now);
    if (reason === undefined) {
      available.push(server);
    } else if (unavailable.length < MAXIMUM_ALTERNATIVES) {
      unavailable.push({ backendServer: server.settings.id, reason });
    }
  }
  return { available, unavailable };
}
