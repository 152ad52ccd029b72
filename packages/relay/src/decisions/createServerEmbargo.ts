import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { ListedServer } from '../types';
import type { ServerEmbargo } from './types';

/** A server that announced that it is leaving ends within this time. */
const LEAVING_TTL: Milliseconds = 60_000;

interface EmbargoEntry {
  readonly startedAt: number | undefined;
  until: Milliseconds;
}

/**
 * Holds the servers that asked this host to send nothing: those that announced in a response that
 * they are leaving, and those that turned a request away for a time. It binds this host whatever
 * the store or a scheduler says; another process at the same name is not bound.
 */
export default function createServerEmbargo(): ServerEmbargo {
  const entries = new Map<BackendServerId, EmbargoEntry>();

  function extend({ id, startedAt }: ListedServer, until: Milliseconds): void {
    const known = entries.get(id);
    if (known?.startedAt === startedAt && known !== undefined) {
      known.until = Math.max(known.until, until);
    } else {
      entries.set(id, { startedAt, until });
    }
  }

  return {
    recordLeaving: (server, now) => extend(server, now + LEAVING_TTL),
    recordTurnedAway: (server, retryAfter, now) => extend(server, now + retryAfter),
    isEmbargoed({ id, startedAt }, now) {
      const entry = entries.get(id);
      return entry !== undefined && entry.startedAt === startedAt && entry.until > now;
    },
    list(now) {
      entries.forEach(({ until }, id) => {
        if (until <= now) {
          entries.delete(id);
        }
      });
      return [...entries.keys()];
    },
    retainServers(servers) {
      entries.forEach(({ startedAt }, id) => {
        const listed = servers.get(id);
        if (listed !== undefined && listed.startedAt !== startedAt) {
          entries.delete(id);
        }
      });
    },
  };
}
