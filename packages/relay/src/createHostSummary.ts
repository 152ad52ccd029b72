import type { Milliseconds, PoolId } from '@rattanreel/core';
import type { ClusterStateVersions, CustomerUse, HostSummary } from './types';
import type { Pools } from './pools/types';

interface HostSummaryOptions extends Pick<
  HostSummary,
  | 'entryHost'
  | 'incarnation'
  | 'failureDomain'
  | 'address'
  | 'capacity'
  | 'spent'
  | 'hosts'
  | 'loopDelay'
> {
  readonly pools: Pools;
  readonly versions: ClusterStateVersions;
  readonly now: Milliseconds;
}

/** Creates the current summary of this host for its peers. */
export default function createHostSummary(options: HostSummaryOptions): HostSummary {
  const { pools, versions, entryHost, incarnation, failureDomain, address, capacity } = options;
  const tiers: Record<PoolId, Record<string, number>> = {};
  const waiting: Record<PoolId, Record<string, number>> = {};
  const customers: Record<PoolId, CustomerUse> = {};
  pools.forEachQueue((queue, pool) => {
    tiers[pool] = Object.fromEntries(queue.getOwnInFlightByTier());
    waiting[pool] = Object.fromEntries(queue.getQueuedByRank());
    const use = queue.tryGetCustomerUse();
    if (use !== undefined) {
      customers[pool] = use;
    }
  });
  return {
    ...versions,
    kind: 'summary',
    entryHost,
    incarnation,
    failureDomain,
    address,
    capacity,
    spent: options.spent,
    hosts: options.hosts,
    loopDelay: options.loopDelay,
    leaving: pools.listLeaving(),
    inFlight: Object.fromEntries(pools.countOwnInFlight()),
    tiers,
    waiting,
    speeds: pools.speeds.tryGetReports(options.now),
    loans: pools.loans.tryGetReport(),
    ...(Object.keys(customers).length > 0 && { customers }),
  };
}
