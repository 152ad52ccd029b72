import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { Pools } from '../pools/types';
import type { ClusterStateCache, ListedServer, PeerAddress, PeerTable } from '../types';
import type { ScaleDemand } from './types';

interface MeasureOptions {
  readonly now: Milliseconds;
  readonly self: Pick<PeerAddress, 'failureDomain'>;
  readonly pools: Pick<Pools, 'getQueue' | 'countOwnInFlight'>;
  readonly peerTable: Pick<PeerTable, 'countInFlight' | 'listReachable'>;
  readonly stateCache: Pick<ClusterStateCache, 'get'>;
}

function sum(counts: Iterable<number>): number {
  return [...counts].reduce((total, count) => total + count, 0);
}

/** Measures the demand for servers of each pool that is scaled, by failure domain. */
export default function measureScaleDemand(options: MeasureOptions): readonly ScaleDemand[] {
  const { now, self, pools, peerTable, stateCache } = options;
  const { configuration, servers = [] } = stateCache.get();
  const scaled = (configuration?.pools ?? []).filter(({ autoscale }) => autoscale !== undefined);
  if (scaled.length === 0) {
    return [];
  }
  const own = pools.countOwnInFlight();
  const peers = peerTable.countInFlight(now);
  const reachable = peerTable.listReachable(now);

  return scaled.flatMap(({ name: pool, autoscale: settings }) => {
    const serversByDomain = new Map<FailureDomainId, ListedServer[]>();
    servers
      .filter((server) => server.pool === pool)
      .forEach((server) => {
        const listed = serversByDomain.get(server.failureDomain) ?? [];
        listed.push(server);
        serversByDomain.set(server.failureDomain, listed);
      });
    return [...serversByDomain].map(([failureDomain, listed]) => {
      const near = reachable.filter((summary) => summary.failureDomain === failureDomain);
      const isOwnDomain = self.failureDomain === failureDomain;
      const ownWaiting = isOwnDomain ? sum(pools.getQueue(pool).getQueuedByRank().values()) : 0;
      const ready = listed.filter(({ isDraining }) => !isDraining).length;
      return {
        pool,
        failureDomain,
        settings: settings!,
        inFlight: sum(listed.map(({ id }) => (own.get(id) ?? 0) + (peers.get(id) ?? 0))),
        waiting:
          ownWaiting + sum(near.flatMap(({ waiting }) => Object.values(waiting[pool] ?? {}))),
        ready,
        draining: listed.length - ready,
        slots: Math.max(...listed.map(({ slots }) => slots)),
        isKnown: isOwnDomain || near.length > 0,
      };
    });
  });
}
