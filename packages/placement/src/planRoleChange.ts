import planSmallOrder from './planSmallOrder';
import type { PlannedOrder, RoleDemand, SmallOrderOptions } from './types';

/** Plans the next change of role when too few servers of a pool have one. */
export default function planRoleChange(
  demand: RoleDemand,
  demands: readonly RoleDemand[],
  options: SmallOrderOptions,
): readonly PlannedOrder[] {
  const { role } = demand;
  return planSmallOrder({
    ...options,
    wanted: demand.servers,
    order: { order: 'setRole', role },
    reason: `fewer than ${demand.servers} servers have the role ${role}`,
    serves: (server) => server.role === role,
    tryGetUnfitness: (server) => {
      const present = demands.find((other) => other.role === server.role)?.servers ?? 0;
      const having = options.servers.filter((other) => other.role === server.role).length;
      return having <= present ? 'wouldLeaveTooLittle' : undefined;
    },
  });
}
