import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { ListedServer } from '../types';

/** Entries that expired during a store outage reappear within this time after its recovery. */
const RECOVERY_GRACE_PERIOD: Milliseconds = 2_000;
/**
 * Time after the store's return from an older copy for which entries of the copy are ignored that
 * had been removed before. A server that is alive writes its entry again.
 */
const RESTORED_ENTRY_TTL: Milliseconds = 10_000;
/** Time for which it is remembered that a server was draining or removed. */
const DEPARTURE_TTL: Milliseconds = 120_000;

interface ServerList {
  /** Replaces the list; returns false, without effect, if it is older than the current one. */
  replace(servers: readonly ListedServer[], version: number, now: Milliseconds): boolean;
  markStoreUnreachable(): void;
  markStoreReachable(now: Milliseconds): void;
  /** Records that the store returned from a copy some seconds old. */
  markStoreRestored(now: Milliseconds): void;
  /** Returns the listed servers and those that are still retained. */
  get(now: Milliseconds): ReadonlyMap<BackendServerId, ListedServer>;
  /** Store version of the list; -1 before the first one. */
  readonly version: number;
  /** Returns whether entries are retained that the store no longer lists. */
  hasRetainedServers(now: Milliseconds): boolean;
}

/** How a process of a server left the list, or began to. */
interface Departure {
  readonly kind: 'draining' | 'removed';
  readonly startedAt: number | undefined;
  readonly at: Milliseconds;
}

/**
 * Holds the backend servers that the platform lists. Around a store outage, an entry can expire
 * although its server is healthy, so entries that disappear then are retained until they have had
 * time to reappear. A server that was seen draining never counts as ready again, and one that was
 * removed does not return with an older copy of the store.
 */
export default function createServerList(): ServerList {
  let listed = new Map<BackendServerId, ListedServer>();
  let retained = new Map<BackendServerId, ListedServer>();
  let version = -1;
  let isStoreUnreachable = false;
  let retainUntil = -Infinity;
  let restoredAt = -Infinity;
  const departures = new Map<BackendServerId, Departure>();

  function recordDeparture(server: ListedServer, kind: Departure['kind'], now: number): void {
    departures.set(server.id, { kind, startedAt: server.startedAt, at: now });
  }

  /** Returns the departure of this very process, if it was seen. */
  function tryGetDeparture({ id, startedAt }: ListedServer): Departure | undefined {
    const departure = departures.get(id);
    return departure?.startedAt === startedAt ? departure : undefined;
  }

  /** Corrects an entry by what was seen of its process before; undefined if it is to be ignored. */
  function tryCorrect(server: ListedServer, now: Milliseconds): ListedServer | undefined {
    const departure = tryGetDeparture(server);
    if (departure === undefined) {
      return server;
    }
    if (departure.kind === 'draining') {
      return server.isDraining ? server : { ...server, isDraining: true };
    }
    const isFromCopy = departure.at < restoredAt && now - restoredAt < RESTORED_ENTRY_TTL;
    return isFromCopy ? undefined : server;
  }

  function recordDepartures(next: ReadonlyMap<BackendServerId, ListedServer>, now: number): void {
    departures.forEach(({ at }, id) => {
      if (now - at > DEPARTURE_TTL) {
        departures.delete(id);
      }
    });
    listed.forEach((server, id) => {
      if (!next.has(id) && !isRetaining(now)) {
        recordDeparture(server, 'removed', now);
      }
    });
    next.forEach((server) => {
      if (server.isDraining) {
        recordDeparture(server, 'draining', now);
      }
    });
  }

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
      const next = new Map(
        servers
          .flatMap((server) => tryCorrect(server, now) ?? [])
          .map((server) => [server.id, server]),
      );
      recordDepartures(next, now);
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
    markStoreRestored(now) {
      restoredAt = now;
      retainUntil = Math.max(retainUntil, now + RECOVERY_GRACE_PERIOD);
    },
    get(now) {
      if (!isRetaining(now)) {
        retained = new Map();
      }
      return new Map([...retained, ...listed]);
    },
  };
}
