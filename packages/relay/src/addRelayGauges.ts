import type { Clock } from '@rattanreel/core';
import type { GaugeReading } from '@rattanreel/observability';
import type { RelayMetrics } from './front/types';
import type { CrashGuard } from './crashes/types';
import type { ForwardingConnections } from './forwarding/types';
import type { ClusterStateCache, PeerTable, Priority } from './types';
import type { Pools } from './pools/types';

interface RelayGaugesOptions {
  readonly metrics: RelayMetrics;
  readonly pools: Pools;
  readonly stateCache: ClusterStateCache;
  readonly peerTable: PeerTable;
  readonly crashGuard: Pick<CrashGuard, 'countQuarantined'>;
  readonly connections: Pick<ForwardingConnections, 'countCut'>;
  readonly clock: Clock;
}

const TOP_PRIORITY: Priority = {
  rank: 0,
  floorRank: 0,
  isReturning: false,
  tier: 0,
  serveBy: 0,
  deadlineAt: 0,
};

/** Creates the reading of a gauge without labels. */
function createUnlabelledReading(value: number): readonly GaugeReading[] {
  return [{ labels: {}, value }];
}

/** Adds gauges of the host's pools and of its known cluster state, read at each scrape. */
export default function addRelayGauges(options: RelayGaugesOptions): void {
  const { metrics, pools, stateCache, peerTable, crashGuard, connections, clock } = options;

  metrics.addGauge({
    name: 'rattanreel_relay_pool',
    help: 'Queued requests, slots, occupied slots, waiting customers and the largest use, by pool.',
    labelNames: ['pool', 'figure'],
    read() {
      const readings: GaugeReading[] = [];
      pools.forEachQueue((queue, pool) => {
        const { waiting, places, taken } = queue.getState({ priority: TOP_PRIORITY });
        const { waitingCustomers, largestUse } = queue.sharing.getFigures();
        readings.push(
          { labels: { pool, figure: 'waiting' }, value: waiting },
          { labels: { pool, figure: 'places' }, value: places },
          { labels: { pool, figure: 'taken' }, value: taken },
          { labels: { pool, figure: 'waitingCustomers' }, value: waitingCustomers },
          { labels: { pool, figure: 'largestUse' }, value: largestUse },
        );
      });
      return readings;
    },
  });
  metrics.addGauge({
    name: 'rattanreel_relay_configuration_version',
    help: 'Version of the configuration in force; -1 before the first.',
    labelNames: [],
    read: () => createUnlabelledReading(stateCache.getVersions().configurationVersion),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_store_in_reach',
    help: "Whether the platform's store is reachable from this host (1) or not (0).",
    labelNames: [],
    read: () => createUnlabelledReading(stateCache.isStoreReachable ? 1 : 0),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_hosts_heard',
    help: 'Other entry hosts that are reachable: a message arrived within the last second.',
    labelNames: [],
    read: () => createUnlabelledReading(peerTable.listReachable(clock.now()).length),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_traits_quarantined',
    help: 'Traits whose requests are sent to no server, since servers ended under them.',
    labelNames: [],
    read: () => createUnlabelledReading(crashGuard.countQuarantined()),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_servers_cut',
    help: 'Backend servers that this host reaches only through other hosts.',
    labelNames: [],
    read: () => createUnlabelledReading(connections.countCut()),
  });
}
