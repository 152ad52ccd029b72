import type { BackendServerSettings } from '@rattanreel/configuration';
import type { FailureDomainId } from '@rattanreel/core';
import type { EngineClient } from '@rattanreel/dispatch';
import type { PlacedServer } from '@rattanreel/placement';
import type { SettingsView } from '../types';
import type { ServerPoller } from './types';

/** Polls the model engines of one failure domain for what they have loaded and are running. */
export default function createServerPoller(
  failureDomain: FailureDomainId,
  engineClient: EngineClient,
): ServerPoller {
  const addresses = new Map<string, string>();

  async function pollServer(
    view: SettingsView,
    server: BackendServerSettings,
  ): Promise<readonly PlacedServer[]> {
    addresses.set(server.id, server.address);
    const load = await engineClient.fetchLoad(server.address);
    if (load.kind === 'error') {
      return [];
    }
    const { version, incarnation, ready, leaving, running, role } = load.value;
    return [
      {
        backendServer: server.id,
        pool: server.pool,
        checksFencing: server.checksFencing,
        // Throughput is counted in streams, as the demand is.
        throughput: server.maximumStreams,
        version,
        incarnation,
        ready,
        cold: false,
        leaving,
        drained: view.settings.drained.backendServers.includes(server.id),
        role: role ?? '',
        running,
      },
    ];
  }

  return {
    async poll(view) {
      const modelPools = view.settings.pools.filter(({ kind }) => kind === 'model');
      const servers = modelPools.flatMap(({ id }) => view.getBackendServers(id, failureDomain));
      const answers = await Promise.all(servers.map((server) => pollServer(view, server)));
      return answers.flat();
    },
    tryGetAddress: (backendServer) => addresses.get(backendServer),
  };
}
