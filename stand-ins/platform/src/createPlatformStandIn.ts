import { once } from 'node:events';
import type { Server } from 'node:http';
import { serve } from '@hono/node-server';
import { createSystemClock, createSystemRandom } from '@rattanreel/core';
import createObjectStoreModel from './createObjectStoreModel';
import createPlatformRoutes from './createPlatformRoutes';
import type { PlatformStandIn, PlatformStandInOptions } from './types';

const DEFAULT_HOSTNAME = '127.0.0.1';

/** Starts a server of the platform's object API on a loopback port. */
export default async function createPlatformStandIn(
  options: PlatformStandInOptions = {},
): Promise<PlatformStandIn> {
  const hostname = options.hostname ?? DEFAULT_HOSTNAME;
  const model = createObjectStoreModel({
    ...options,
    clock: options.clock ?? createSystemClock(),
    random: options.random ?? createSystemRandom(),
  });
  const routes = createPlatformRoutes(model);
  const server = serve({ fetch: routes.fetch, hostname, port: options.port ?? 0 }) as Server;
  await once(server, 'listening');
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : options.port;
  return {
    url: `http://${hostname}:${port}`,
    model,
    async close() {
      model.close();
      server.closeAllConnections();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
}
