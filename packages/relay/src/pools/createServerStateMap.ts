import type { BackendServerId } from '@rattanreel/core';
import createServerState from './createServerState';
import type { ListedServer, ServerState } from '../types';
import type { ServerStateMap } from './types';

function isSameInstance(left: ListedServer, right: ListedServer): boolean {
  return left.address === right.address && left.startedAt === right.startedAt;
}

/** Holds the states of a pool's backend servers as known to this host. */
export default function createServerStateMap(): ServerStateMap {
  let byId = new Map<BackendServerId, ServerState>();

  return {
    get byId() {
      return byId;
    },
    replaceServers(servers, now) {
      byId = new Map(
        servers.map((listed) => {
          const known = byId.get(listed.id);
          if (known === undefined || !isSameInstance(known.listed, listed)) {
            return [listed.id, createServerState(listed, now)];
          }
          if (listed !== known.listed && listed.coldFor > 0) {
            known.coldUntil = Math.max(known.coldUntil, now + listed.coldFor);
          }
          known.listed = listed;
          return [listed.id, known];
        }),
      );
    },
  };
}
