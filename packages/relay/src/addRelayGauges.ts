import type { CallerMemory } from '@rattanreel/connections';
import type { Clock } from '@rattanreel/core';
import type { GaugeReading } from '@rattanreel/observability';
import type { RelayMetrics } from './front/types';
import type { CrashGuard } from './crashes/types';
import type { ForwardingConnections } from './forwarding/types';
import isLate from './lateness/isLate';
import type { LoopDelay } from './lateness/types';
import type { ClusterStateCache, PeerTable, Priority } from './types';
import type { Pools } from './pools/types';

const MILLISECONDS_PER_SECOND = 1_000;

interface RelayGaugesOptions {
  readonly metrics: RelayMetrics;
  readonly pools: Pools;
  readonly stateCache: ClusterStateCache;
  readonly peerTable: PeerTable;
  readonly crashGuard: Pick<CrashGuard, 'countQuarantined'>;
  readonly connections: Pick<ForwardingConnections, 'countCut'>;
  readonly clock: Clock;
  readonly loopDelay: Pick<LoopDelay, 'get'>;
  readonly callerMemory: Pick<CallerMemory, 'getUsed' | 'getOverhead'>;
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
  const { metrics, pools, stateCache, peerTable, crashGuard, connections, clock, loopDelay } =
    options;

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
    name: 'rattanreel_relay_servers_ignored',
    help: 'Entries of the server list that name no backend server to use, by the part at fault.',
    labelNames: ['defect'],
    read: () =>
      [...stateCache.countIgnoredServers()].map(([defect, value]) => ({
        labels: { defect },
        value,
      })),
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
    name: 'rattanreel_relay_servers_slow',
    help: 'Backend servers that are expected to be slow, by what they reported of late.',
    labelNames: [],
    read: () => createUnlabelledReading(pools.speeds.countSlow(clock.now())),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_servers_cut',
    help: 'Backend servers that this host reaches only through other hosts.',
    labelNames: [],
    read: () => createUnlabelledReading(connections.countCut()),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_event_loop_delay_seconds',
    help: 'Time that events of this host are expected to wait for its event loop.',
    labelNames: [],
    read: () => createUnlabelledReading(loopDelay.get() / MILLISECONDS_PER_SECOND),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_body_bytes',
    help: 'Memory reserved for the bodies of requests in hand.',
    labelNames: [],
    read: () => createUnlabelledReading(options.callerMemory.getUsed()),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_connection_bytes',
    help: 'Estimated memory of heads, requests and unsent responses of callers, without bodies.',
    labelNames: [],
    read: () => createUnlabelledReading(options.callerMemory.getOverhead()),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_hosts_late',
    help: 'Reachable other entry hosts with a high event loop delay.',
    labelNames: [],
    read: () => createUnlabelledReading(peerTable.listReachable(clock.now()).filter(isLate).length),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_brittle_slots',
    help: "Slots of brittle servers: this host's that others hold (lent), and others' that it holds (borrowed).",
    labelNames: ['figure'],
    read: () =>
      Object.entries(pools.loans.count()).map(([figure, value]) => ({ labels: { figure }, value })),
  });
}
