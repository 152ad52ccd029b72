import planAdapterLoad from './planAdapterLoad';
import planRoleChange from './planRoleChange';
import planVersionLoads from './planVersionLoads';
import type {
  PlacedServer,
  PlacementDemand,
  PlacementPolicy,
  PlannedOrder,
  SmallOrderOptions,
} from './types';

interface PlanOptions extends SmallOrderOptions {
  readonly demand: PlacementDemand;
  readonly policy: PlacementPolicy;
}

function ofPool<Item extends { readonly pool: string }>(
  items: readonly Item[],
  pool: string,
): readonly Item[] {
  return items.filter((item) => item.pool === pool);
}

function planPool(pool: string, options: PlanOptions): readonly PlannedOrder[] {
  const { demand, policy, isBusy, hasAdapter } = options;
  const servers = ofPool(options.servers, pool);
  const small = { servers, isBusy, hasAdapter };
  const roles = ofPool(demand.roles, pool);
  return [
    ...planVersionLoads({ servers, demands: ofPool(demand.versions, pool), isBusy, policy }),
    ...ofPool(demand.adapters, pool).flatMap((adapter) => planAdapterLoad(adapter, small)),
    ...roles.flatMap((role) => planRoleChange(role, roles, small)),
  ];
}

function firstForEachServer(orders: readonly PlannedOrder[]): readonly PlannedOrder[] {
  const seen = new Set<PlacedServer['backendServer']>();
  return orders.filter(({ backendServer }) => {
    const isFirst = !seen.has(backendServer);
    seen.add(backendServer);
    return isFirst;
  });
}

/** The orders that the demand asks for now: at most one to a server, and one version load to a pool. */
export default function planOrders(options: PlanOptions): readonly PlannedOrder[] {
  const pools = new Set(options.servers.map(({ pool }) => pool));
  return firstForEachServer([...pools].flatMap((pool) => planPool(pool, options)));
}
