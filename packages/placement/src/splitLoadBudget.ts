import type { FailureDomainId } from '@rattanreel/core';
import type { LoadBudget } from './types';

interface DomainSize {
  readonly failureDomain: FailureDomainId;
  readonly backendServers: number;
}

interface DomainBudget {
  readonly failureDomain: FailureDomainId;
  readonly budget: LoadBudget;
}

/**
 * Shares the weight store's rate out to failure domains by their number of backend servers. The parts add up to
 * the whole, so that domains need not hear one another to keep it.
 */
export default function splitLoadBudget(
  total: LoadBudget,
  domains: readonly DomainSize[],
): readonly DomainBudget[] {
  const totalServers = domains.reduce((sum, { backendServers }) => sum + backendServers, 0);
  return domains.map(({ failureDomain, backendServers }) => {
    const fraction = totalServers === 0 ? 0 : backendServers / totalServers;
    const loadsPerMinute = total.loadsPerMinute * fraction;
    return { failureDomain, budget: { loadsPerMinute, burst: total.burst * fraction } };
  });
}
