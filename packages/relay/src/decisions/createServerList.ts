import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { ListedServer } from '../types';

/** Entries that lapsed in an outage of the store come back within this time of its return. */
const RECOVERY_GRACE_PERIOD: Milliseconds = 2_000;

interface ServerList {
  /** Takes over what the store lists; false when the list is older than what is known. */
  replace(servers: readonly ListedServer[], version: number, now: Milliseconds): boolean;
  markStoreUnreachable(): void;
  markStoreReachable(now: Milliseconds): void;
  /** The servers to use. */
  get(now: Milliseconds): ReadonlyMap<BackendServerId, ListedServer>;
  /** Version of the store at which the list was true. */
  readonly version: number;
  /** Whether entries are kept that the store does not list any more. */
  hasRetainedServers(now: Milliseconds): boolean;
}

/**
 * The backend servers that the platform lists. Around an outage of the store an entry can lapse though
 * its server is well, so entries that go missing then are kept until they have had time to return.
 */
export default function createServerList(): ServerList {
  let listed = new Map<BackendServerId, ListedServer>();
  let retained = new Map<BackendServerId, ListedServer>();
  let version = -1;
  let isStoreUnreachable = false;
  let retainUntil = -Infinity;

  function isRetaining(now: Milliseconds): boolean {
    return isStoreUnreachable || now < retainUntil;
  }

  return {
    get version() {
      return version;
    },
    hasRetainedServers: (now) => retained.size > 0 && isRetaining(now),
    replace(servers, nextVersion, now) {
      if (nextVersion < version) {
        return false;
      }
      const next = new Map(servers.map((server) => [server.id, server]));
      if (isRetaining(now)) {
        listed.forEach((server, id) => {
          if (!next.has(id) && !server.isDraining) {
            retained.set(id, server);
          }
        });
      }
      retained.forEach((_, id) => {
        if (next.has(id)) {
          retained.delete(id);
        }
      });
      listed = next;
      version = nextVersion;
      return true;
    },
    markStoreUnreachable() {
      isStoreUnreachable = true;
    },
    markStoreReachable(now) {
      if (isStoreUnreachable) {
        isStoreUnreachable = false;
        retainUntil = now + RECOVERY_GRACE_PERIOD;
      }
    },
    get(now) {
      if (!isRetaining(now)) {
        retained = new Map();
      }
      return new Map([...retained, ...listed]);
    },
  };
}
