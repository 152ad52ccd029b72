import type { PlacedServer } from './types';

/** Holds the adapters that servers have loaded; a new incarnation or version of a server has none. */
interface AdapterRegistry {
  add(server: PlacedServer, adapter: string): void;
  has(server: PlacedServer, adapter: string): boolean;
}

/** Creates a registry of loaded adapters, because reports do not name them. */
export default function createAdapterRegistry(): AdapterRegistry {
  const adapters = new Map<string, { readonly key: string; readonly names: Set<string> }>();

  function getInstanceKey({ incarnation, version }: PlacedServer): string {
    return `${incarnation} ${version}`;
  }

  return {
    add(server, adapter) {
      const key = getInstanceKey(server);
      const known = adapters.get(server.backendServer);
      const names = known?.key === key ? known.names : new Set<string>();
      names.add(adapter);
      adapters.set(server.backendServer, { key, names });
    },
    has(server, adapter) {
      const known = adapters.get(server.backendServer);
      return known?.key === getInstanceKey(server) && known.names.has(adapter);
    },
  };
}
