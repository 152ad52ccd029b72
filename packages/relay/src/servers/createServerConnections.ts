import { Pool } from 'undici';
import { createTrackedConnector } from '@rattanreel/connections';
import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { LoopDelay } from '../lateness/types';
import checkListening from './checkListening';
import sendOnce from './sendOnce';
import type { ServerConnections } from './types';
import type { ListedServer } from '../types';

/** Time for which an idle connection is kept, unless the server's keep-alive hint is shorter. */
const IDLE_TIMEOUT: Milliseconds = 4_000;
/** Covers connection setup within one region, except when two opening packets are lost. */
const CONNECT_TIMEOUT: Milliseconds = 700;
/** A server needs connections for the requests that it runs and for those in its own queue. */
const CONNECTIONS_PER_SLOT = 3;

interface ServerConnectionsOptions {
  readonly loopDelay: Pick<LoopDelay, 'clock' | 'afterPendingEvents' | 'afterSilence'>;
}

interface ServerConnection {
  readonly key: string;
  readonly pool: Pool;
}

/**
 * Identifies one process at one address, so that a restarted server never gets an old connection.
 */
function getConnectionKey(server: ListedServer): string {
  return `${server.address} ${server.startedAt ?? ''}`;
}

/** Holds the connections to backend servers. This layer never sends a request twice. */
export default function createServerConnections(
  options: ServerConnectionsOptions,
): ServerConnections {
  const connectionsByServer = new Map<BackendServerId, ServerConnection>();
  const connector = createTrackedConnector({ timeout: CONNECT_TIMEOUT });

  function closeGracefully(server: ServerConnection): void {
    // Requests in flight complete first; a failure to close leaves nothing to clean up.
    server.pool.close().catch(() => undefined);
  }

  function getPool(server: ListedServer): Pool {
    const key = getConnectionKey(server);
    const known = connectionsByServer.get(server.id);
    if (known?.key === key) {
      return known.pool;
    }
    if (known !== undefined) {
      closeGracefully(known);
    }
    const pool = new Pool(`http://${server.address}`, {
      connections: server.slots * CONNECTIONS_PER_SLOT,
      pipelining: 1,
      connect: connector.connect,
      keepAliveTimeout: IDLE_TIMEOUT,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    // A failed connection attempt is reported to each request that waits for it.
    pool.on('connectionError', () => undefined);
    connectionsByServer.set(server.id, { key, pool });
    return pool;
  }

  return {
    send: (server, request, sink) =>
      sendOnce({
        dispatcher: getPool(server),
        request,
        sink,
        clock: options.loopDelay.clock,
        connector,
        loopDelay: options.loopDelay,
      }),
    checkListening,
    renew({ id }) {
      const known = connectionsByServer.get(id);
      if (known !== undefined) {
        connectionsByServer.delete(id);
        closeGracefully(known);
      }
    },
    retainServers(servers) {
      connectionsByServer.forEach((server, id) => {
        const listed = servers.get(id);
        if (listed === undefined || getConnectionKey(listed) !== server.key) {
          connectionsByServer.delete(id);
          closeGracefully(server);
        }
      });
    },
    async close() {
      await Promise.all([...connectionsByServer.values()].map(({ pool }) => pool.destroy()));
      connectionsByServer.clear();
    },
  };
}
