import planOnLeastBusyServer from './planOnLeastBusyServer';
import type { PlannedEngineOrder, RoleDemand, ServerSelectionOptions } from './types';

/** Plans the next role change if too few servers of a pool have the role. */
export default function planRoleChange(
  demand: RoleDemand,
  demands: readonly RoleDemand[],
  options: ServerSelectionOptions,
): readonly PlannedEngineOrder[] {
  const { role } = demand;
  return planOnLeastBusyServer({
    ...options,
    wantedServers: demand.servers,
    order: { order: 'setRole', role },
    reason: `fewer than ${demand.servers} servers have the role ${role}`,
    isServing: (server) => server.role === role,
    tryGetExclusionReason: (server) => {
      const neededInCurrentRole = demands.find((other) => other.role === server.role)?.servers ?? 0;
      const serversInCurrentRole = options.servers.filter(
        (other) => other.role === server.role,
      ).length;
      return serversInCurrentRole <= neededInCurrentRole ? 'wouldLeaveTooLittle' : undefined;
    },
  });
}
