import planOnLeastBusyServer from './planOnLeastBusyServer';
import type { AdapterDemand, PlannedEngineOrder, ServerSelectionOptions } from './types';

/** Plans the next load of an adapter that too few servers of its version have loaded. */
export default function planAdapterLoad(
  demand: AdapterDemand,
  options: ServerSelectionOptions,
): readonly PlannedEngineOrder[] {
  const { adapter, version } = demand;
  return planOnLeastBusyServer({
    ...options,
    wantedServers: demand.servers,
    order: { order: 'loadAdapter', adapter },
    reason: `adapter ${adapter} is on fewer than ${demand.servers} servers of version ${version}`,
    isServing: (server) => server.version === version && options.hasAdapter(server, adapter),
    tryGetExclusionReason: (server) => (server.version === version ? undefined : 'otherVersion'),
  });
}
