import type { BackendServerSettings } from '@rattanreel/configuration';
import type { FailureDomainId } from '@rattanreel/core';
import type { EngineClient } from '@rattanreel/dispatch';
import type { PlacedServer } from '@rattanreel/placement';
import type { SettingsView } from '../types';
import type { ServerSurvey } from './types';

/** Asks the model engines of one failure domain for what they have loaded. */
export default function createServerSurvey(
  failureDomain: FailureDomainId,
  engines: EngineClient,
): ServerSurvey {
  const addresses = new Map<string, string>();

  async function ask(
    view: SettingsView,
    server: BackendServerSettings,
  ): Promise<readonly PlacedServer[]> {
    addresses.set(server.id, server.address);
    const load = await engines.fetchLoad(server.address);
    if (load.kind === 'error') {
      return [];
    }
    const { version, incarnation, ready, leaving, running, role } = load.value;
    return [
      {
        backendServer: server.id,
        pool: server.pool,
        checksFencing: server.checksFencing,
        // Work is counted in streams.
        speed: server.maximumStreams,
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
    async survey(view) {
      const models = view.settings.pools.filter(({ kind }) => kind === 'model');
      const servers = models.flatMap(({ id }) => view.backendServersOf(id, failureDomain));
      const answers = await Promise.all(servers.map((server) => ask(view, server)));
      return answers.flat();
    },
    tryGetAddress: (backendServer) => addresses.get(backendServer),
  };
}
