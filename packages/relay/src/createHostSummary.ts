import type { PoolId } from '@rattanreel/core';
import type { BeliefVersions, HostSummary, Pools } from './types';

interface HostSummaryOptions extends Pick<
  HostSummary,
  'entryHost' | 'incarnation' | 'failureDomain' | 'address' | 'spent' | 'farSpending'
> {
  readonly pools: Pools;
  readonly versions: BeliefVersions;
}

/** What this host tells the others now. */
export default function createHostSummary(options: HostSummaryOptions): HostSummary {
  const { pools, versions, ...identity } = options;
  const inFlight: Record<string, number> = {};
  const tiers: Record<PoolId, Record<string, number>> = {};
  const waiting: Record<PoolId, Record<string, number>> = {};
  pools.forEachDesk((desk, pool) => {
    tiers[pool] = Object.fromEntries(desk.getOwnByTier());
    waiting[pool] = Object.fromEntries(desk.getWaitingByRank());
    desk.accounts.forEach(({ own }, id) => {
      if (own > 0) {
        inFlight[id] = own;
      }
    });
  });
  return {
    ...identity,
    ...versions,
    kind: 'summary',
    inFlight,
    tiers,
    waiting,
  };
}
