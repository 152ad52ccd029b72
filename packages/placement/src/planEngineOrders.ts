import planAdapterLoad from './planAdapterLoad';
import planRoleChange from './planRoleChange';
import planVersionLoads from './planVersionLoads';
import type {
  PlacedServer,
  PlacementDemand,
  PlacementPolicy,
  PlannedEngineOrder,
  ServerSelectionOptions,
} from './types';

interface PlanOptions extends ServerSelectionOptions {
  readonly demand: PlacementDemand;
  readonly policy: PlacementPolicy;
}

function filterByPool<Item extends { readonly pool: string }>(
  items: readonly Item[],
  pool: string,
): readonly Item[] {
  return items.filter((item) => item.pool === pool);
}

function planPool(pool: string, options: PlanOptions): readonly PlannedEngineOrder[] {
  const { demand, policy, isBusy, hasAdapter } = options;
  const servers = filterByPool(options.servers, pool);
  const selectionOptions = { servers, isBusy, hasAdapter };
  const roles = filterByPool(demand.roles, pool);
  return [
    ...planVersionLoads({ servers, demands: filterByPool(demand.versions, pool), isBusy, policy }),
    ...filterByPool(demand.adapters, pool).flatMap((adapter) =>
      planAdapterLoad(adapter, selectionOptions),
    ),
    ...roles.flatMap((role) => planRoleChange(role, roles, selectionOptions)),
  ];
}

function takeFirstPerServer(orders: readonly PlannedEngineOrder[]): readonly PlannedEngineOrder[] {
  const seen = new Set<PlacedServer['backendServer']>();
  return orders.filter(({ backendServer }) => {
    const isFirst = !seen.has(backendServer);
    seen.add(backendServer);
    return isFirst;
  });
}

/** Returns the orders that the demand requires now: at most one for each server, and one version load for each pool. */
export default function planEngineOrders(options: PlanOptions): readonly PlannedEngineOrder[] {
  const pools = new Set(options.servers.map(({ pool }) => pool));
  return takeFirstPerServer([...pools].flatMap((pool) => planPool(pool, options)));
}
