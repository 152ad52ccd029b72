import { Debug } from '@rattanreel/core';
import type { EngineOrder, PlacedServer, PlacementDemand } from './types';

interface LastServerOptions {
  readonly servers: readonly PlacedServer[];
  readonly demand: PlacementDemand;
  readonly server: PlacedServer;
  readonly order: EngineOrder;
}

/** Asserts that an order does not unload the last server of a version that carries traffic. */
export default function assertNotLastServer(options: LastServerOptions): void {
  const { servers, demand, server, order } = options;
  const currentDemand = demand.versions.find(
    ({ pool, version }) => pool === server.pool && version === server.version,
  );
  const others = servers.filter(
    (other) => other !== server && other.pool === server.pool && other.version === server.version,
  );
  Debug.invariant(
    order.order !== 'loadVersion' || currentDemand?.carriesTraffic !== true || others.length > 0,
    'last-server-unloaded',
    () =>
      `${server.backendServer} is the last server of version ${server.version}, which carries traffic`,
  );
}
