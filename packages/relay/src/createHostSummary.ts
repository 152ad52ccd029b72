import type { PoolId } from '@rattanreel/core';
import type { ClusterStateVersions, HostSummary, Pools } from './types';

interface HostSummaryOptions extends Pick<
  HostSummary,
  'entryHost' | 'incarnation' | 'failureDomain' | 'address' | 'spent' | 'farReports'
> {
  readonly pools: Pools;
  readonly versions: ClusterStateVersions;
}

/** Creates the current summary of this host for its peers. */
export default function createHostSummary(options: HostSummaryOptions): HostSummary {
  const { pools, versions, ...identity } = options;
  const tiers: Record<PoolId, Record<string, number>> = {};
  const waiting: Record<PoolId, Record<string, number>> = {};
  pools.forEachQueue((queue, pool) => {
    tiers[pool] = Object.fromEntries(queue.getOwnInFlightByTier());
    waiting[pool] = Object.fromEntries(queue.getQueuedByRank());
  });
  return {
    ...identity,
    ...versions,
    kind: 'summary',
    inFlight: Object.fromEntries(pools.countOwnInFlight()),
    tiers,
    waiting,
  };
}
