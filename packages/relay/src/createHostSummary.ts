import type { PoolId } from '@rattanreel/core';
import type { BeliefVersions, HostSummary, Pools } from './types';

interface HostSummaryOptions extends Pick<
  HostSummary,
  'entryHost' | 'incarnation' | 'failureDomain' | 'address' | 'spent' | 'farReports'
> {
  readonly pools: Pools;
  readonly versions: BeliefVersions;
}

/** What this host tells the others now. */
export default function createHostSummary(options: HostSummaryOptions): HostSummary {
  const { pools, versions, ...identity } = options;
  const tiers: Record<PoolId, Record<string, number>> = {};
  const waiting: Record<PoolId, Record<string, number>> = {};
  pools.forEachDesk((desk, pool) => {
    tiers[pool] = Object.fromEntries(desk.getOwnByTier());
    waiting[pool] = Object.fromEntries(desk.getWaitingByRank());
  });
  return {
    ...identity,
    ...versions,
    kind: 'summary',
    inFlight: Object.fromEntries(pools.countOwn()),
    tiers,
    waiting,
  };
}
