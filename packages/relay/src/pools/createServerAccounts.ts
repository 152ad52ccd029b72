import type { BackendServerId } from '@rattanreel/core';
import createAccount from './createAccount';
import type { ListedServer, ServerAccount } from '../types';
import type { ServerAccounts } from './types';

function isSameLife(left: ListedServer, right: ListedServer): boolean {
  return left.address === right.address && left.startedAt === right.startedAt;
}

/** What this host knows of a pool's backend servers. */
export default function createServerAccounts(): ServerAccounts {
  let byId = new Map<BackendServerId, ServerAccount>();

  return {
    get byId() {
      return byId;
    },
    replace(servers, now) {
      byId = new Map(
        servers.map((listed) => {
          const known = byId.get(listed.id);
          if (known === undefined || !isSameLife(known.listed, listed)) {
            return [listed.id, createAccount(listed, now)];
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
