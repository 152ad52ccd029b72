import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { ListedServer } from '../types';

/** Entries that lapsed in an outage of the store come back within this time of its return. */
const RETURN_TIME: Milliseconds = 2_000;

interface ServerList {
  /** Takes over what the store lists; false when the list is older than what is known. */
  replace(servers: readonly ListedServer[], version: number, now: Milliseconds): boolean;
  noteStoreLost(): void;
  noteStoreRegained(now: Milliseconds): void;
  /** The servers to use. */
  get(now: Milliseconds): ReadonlyMap<BackendServerId, ListedServer>;
  /** Version of the store at which the list was true. */
  readonly version: number;
  /** Whether entries are kept that the store does not list any more. */
  isHolding(now: Milliseconds): boolean;
}

/**
 * The backend servers that the platform lists. Around an outage of the store an entry can lapse though
 * its server is well, so entries that go missing then are kept until they have had time to return.
 */
export default function createServerList(): ServerList {
  let listed = new Map<BackendServerId, ListedServer>();
  let held = new Map<BackendServerId, ListedServer>();
  let version = -1;
  let isStoreLost = false;
  let holdUntil = -Infinity;

  function isHolding(now: Milliseconds): boolean {
    return isStoreLost || now < holdUntil;
  }

  return {
    get version() {
      return version;
    },
    isHolding: (now) => held.size > 0 && isHolding(now),
    replace(servers, nextVersion, now) {
      if (nextVersion < version) {
        return false;
      }
      const next = new Map(servers.map((server) => [server.id, server]));
      if (isHolding(now)) {
        listed.forEach((server, id) => {
          if (!next.has(id) && !server.isDraining) {
            held.set(id, server);
          }
        });
      }
      held.forEach((_, id) => {
        if (next.has(id)) {
          held.delete(id);
        }
      });
      listed = next;
      version = nextVersion;
      return true;
    },
    noteStoreLost() {
      isStoreLost = true;
    },
    noteStoreRegained(now) {
      if (isStoreLost) {
        isStoreLost = false;
        holdUntil = now + RETURN_TIME;
      }
    },
    get(now) {
      if (!isHolding(now)) {
        held = new Map();
      }
      return new Map([...held, ...listed]);
    },
  };
}
