import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { ListedServer } from '../types';

/** Entries that expired during a store outage reappear within this time after its recovery. */
const RECOVERY_GRACE_PERIOD: Milliseconds = 2_000;

interface ServerList {
  /** Replaces the list; returns false, without effect, if it is older than the current one. */
  replace(servers: readonly ListedServer[], version: number, now: Milliseconds): boolean;
  markStoreUnreachable(): void;
  markStoreReachable(now: Milliseconds): void;
  /** Returns the listed servers and those that are still retained. */
  get(now: Milliseconds): ReadonlyMap<BackendServerId, ListedServer>;
  /** Store version of the list; -1 before the first one. */
  readonly version: number;
  /** Returns whether entries are retained that the store no longer lists. */
  hasRetainedServers(now: Milliseconds): boolean;
}

/**
 * Holds the backend servers that the platform lists. Around a store outage, an entry can expire
 * although its server is healthy, so entries that disappear then are retained until they have had
 * time to reappear.
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
