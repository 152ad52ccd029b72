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
 * Divides the weight store's load budget among failure domains by their number of backend servers. The parts sum
 * to the whole, so that failure domains need not communicate to keep within it.
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
