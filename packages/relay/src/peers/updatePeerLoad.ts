import type { Clock } from '@rattanreel/core';
import type { Pools } from '../pools/types';
import type { PeerTable } from '../types';

interface PeerLoadOptions {
  readonly clock: Clock;
  readonly pools: Pools;
  readonly peerTable: PeerTable;
}

/** Updates the pools with the load of the other hosts. */
export default function updatePeerLoad({ clock, pools, peerTable }: PeerLoadOptions): void {
  const now = clock.now();
  const counts = peerTable.countInFlight(now);
  pools.loans.balance(peerTable.listReachable(now));
  pools.forEachQueue((queue, pool) =>
    queue.setPeerLoad(counts, peerTable.countByTier(pool, now), peerTable.countQueued(pool, now)),
  );
}
