import type { PoolId } from '@rattanreel/core';
import type { Beliefs, HostSummary, Pools } from './types';

interface HostSummaryOptions extends Pick<
  HostSummary,
  'entryHost' | 'incarnation' | 'failureDomain' | 'address' | 'spent'
> {
  readonly pools: Pools;
  readonly beliefs: Beliefs;
}

/** What this host tells the others now. */
export default function createHostSummary(options: HostSummaryOptions): HostSummary {
  const { pools, beliefs, ...identity } = options;
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
    kind: 'summary',
    inFlight,
    tiers,
    waiting,
    configurationVersion: beliefs.configuration?.version ?? -1,
    serversVersion: beliefs.serversVersion,
    evacuatedVersion: beliefs.evacuatedVersion,
  };
}
