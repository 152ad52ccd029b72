import type { PoolId } from '@rattanreel/core';
import type { StoredMove } from '@rattanreel/moves';
import { getMoveDemand } from '@rattanreel/placement';
import type { PlacedServer, PlacementDemand, VersionDemand } from '@rattanreel/placement';
import type { SettingsView } from '../types';

/** Demand of an idle pool in streams, so that the pool keeps a server. */
const MINIMUM_DEMAND_STREAMS = 1;

function estimateDemandStreams(pool: PoolId, servers: readonly PlacedServer[]): number {
  const running = servers
    .filter((server) => server.pool === pool)
    .reduce((sum, server) => sum + server.running, 0);
  return Math.max(MINIMUM_DEMAND_STREAMS, running);
}

function getMoveShare({ record }: StoredMove): number {
  switch (record.verdict) {
    case 'done':
      return 1;
    case 'takenBack':
    case 'cancelled':
      return 0;
    case 'underWay':
      return record.steps[record.step]?.share ?? 0;
    default:
      return record.verdict satisfies never;
  }
}

/** Derives from moves and running requests what a failure domain's model pools need loaded. */
export default function describeDemand(
  view: SettingsView,
  servers: readonly PlacedServer[],
  tryGetMove: (pool: PoolId) => StoredMove | undefined,
): PlacementDemand {
  const modelPools = view.settings.pools.filter(({ kind }) => kind === 'model');
  const versions = modelPools.flatMap(({ id, currentVersion }): readonly VersionDemand[] => {
    const work = estimateDemandStreams(id, servers);
    const move = tryGetMove(id);
    return move === undefined
      ? [{ pool: id, version: currentVersion, work, carriesTraffic: true }]
      : getMoveDemand({ record: move.record, work, share: getMoveShare(move) });
  });
  return { versions, adapters: [], roles: [] };
}
