import planSmallOrder from './planSmallOrder';
import type { AdapterDemand, PlannedOrder, SmallOrderOptions } from './types';

/** Plans the next load of an adapter that too few servers of its version have. */
export default function planAdapterLoad(
  demand: AdapterDemand,
  options: SmallOrderOptions,
): readonly PlannedOrder[] {
  const { adapter, version } = demand;
  return planSmallOrder({
    ...options,
    wanted: demand.servers,
    order: { order: 'loadAdapter', adapter },
    reason: `adapter ${adapter} is on fewer than ${demand.servers} servers of version ${version}`,
    serves: (server) => server.version === version && options.hasAdapter(server, adapter),
    tryGetUnfitness: (server) => (server.version === version ? undefined : 'otherVersion'),
  });
}
