import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from '../servers/types';
import watchOverdue from '../servers/watchOverdue';
import type { RejectedAlternative, RejectionReason } from '../types';
import tryGetRoomReason from './tryGetRoomReason';
import type { SchedulerState, Survey } from './types';

const ALTERNATIVES_TOLD = 8;

function tryGetStandingReason(server: BackendServer): RejectionReason | undefined {
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

/** Finds the backend servers that have room for a stream now. */
export default function surveyServers(state: SchedulerState, now: Milliseconds): Survey {
  const open: BackendServer[] = [];
  const closed: RejectedAlternative[] = [];
  for (const server of state.servers.values()) {
    watchOverdue(state, server, now);
    const reason = tryGetStandingReason(server) ?? tryGetRoomReason(server, now);
    if (reason === undefined) {
      open.push(server);
    } else if (closed.length < ALTERNATIVES_TOLD) {
      closed.push({ backendServer: server.settings.id, reason });
    }
  }
  return { open, closed };
}
