import type { Clock, Milliseconds } from '@rattanreel/core';
import type { Pools } from '../pools/types';
import type { PeerTable } from '../types';

/** Minimum time between two pool updates, since hundreds of messages may arrive per second. */
const POOL_UPDATE_INTERVAL: Milliseconds = 5;

interface PoolUpdateOptions {
  readonly clock: Clock;
  readonly pools: Pick<Pools, 'forEachQueue' | 'loans'>;
  readonly peerTable: PeerTable;
}

interface PoolUpdate {
  run(): void;
  /** Runs after a short while, once for all messages that arrive until then. */
  schedule(): void;
}

/** Updates the pools with the load of the other hosts. */
export default function createPoolUpdate(options: PoolUpdateOptions): PoolUpdate {
  const { clock, pools, peerTable } = options;
  let isScheduled = false;

  function run(): void {
    const now = clock.now();
    const counts = peerTable.countInFlight(now);
    pools.loans.balance(peerTable.listReachable(now));
    pools.forEachQueue((queue, pool) =>
      queue.setPeerLoad(
        counts,
        peerTable.countByTier(pool, now),
        peerTable.countQueued(pool, now),
        peerTable.sumCustomerUse(pool, now),
      ),
    );
  }

  return {
    run,
    schedule() {
      if (!isScheduled) {
        isScheduled = true;
        clock.after(POOL_UPDATE_INTERVAL, () => {
          isScheduled = false;
          run();
        });
      }
    },
  };
}
