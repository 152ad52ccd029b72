import type { Milliseconds } from '@rattanreel/core';
import mergeCounts from '../decisions/sumCounts';
import type { Pools } from '../pools/types';
import type { ClusterStateCache, FleetRole, PeerTable } from '../types';
import type { FleetLoad } from './types';

interface FleetLoadOptions {
  readonly peerTable: Pick<PeerTable, 'listReachable' | 'countInFlight'>;
  readonly pools: Pick<Pools, 'countOwnInFlight'>;
  readonly stateCache: Pick<ClusterStateCache, 'get'>;
  readonly role: Pick<FleetRole, 'ownHosts' | 'fleetHosts'>;
  readonly now: Milliseconds;
}

/** Returns the servers and the requests in progress at all hosts by server, by their last summaries. */
export default function getFleetLoad(options: FleetLoadOptions): FleetLoad {
  const { peerTable, pools, stateCache, role, now } = options;
  const heard = peerTable.listReachable(now).reduce((sum, { hosts }) => sum + hosts, role.ownHosts);
  return {
    servers: stateCache.get().servers ?? [],
    inFlight: mergeCounts([[...pools.countOwnInFlight()], [...peerTable.countInFlight(now)]]),
    isWhole: heard >= role.fleetHosts,
  };
}
