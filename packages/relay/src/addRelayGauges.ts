import type { Clock } from '@rattanreel/core';
import type { GaugeReading } from '@rattanreel/observability';
import type { RelayMetrics } from './front/types';
import type { BeliefKeeper, PeerTable, Pools } from './types';

interface RelayGaugesOptions {
  readonly metrics: RelayMetrics;
  readonly pools: Pools;
  readonly keeper: BeliefKeeper;
  readonly peerTable: PeerTable;
  readonly clock: Clock;
}

/** One figure without labels. */
function single(value: number): readonly GaugeReading[] {
  return [{ labels: {}, value }];
}

/** Figures of what a host holds and believes, read at each scrape. */
export default function addRelayGauges(options: RelayGaugesOptions): void {
  const { metrics, pools, keeper, peerTable, clock } = options;

  metrics.addGauge({
    name: 'rattanreel_relay_pool',
    help: 'Requests waiting, places of usable servers and places taken, by pool.',
    labelNames: ['pool', 'figure'],
    read() {
      const readings: GaugeReading[] = [];
      pools.forEachDesk((desk, pool) => {
        const { waiting, places, taken } = desk.describe({ rank: 0, tier: 0 });
        readings.push(
          { labels: { pool, figure: 'waiting' }, value: waiting },
          { labels: { pool, figure: 'places' }, value: places },
          { labels: { pool, figure: 'taken' }, value: taken },
        );
      });
      return readings;
    },
  });
  metrics.addGauge({
    name: 'rattanreel_relay_configuration_version',
    help: 'Version of the configuration in force; -1 before the first.',
    labelNames: [],
    read: () => single(keeper.getVersions().configurationVersion),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_store_in_reach',
    help: "Whether the platform's store answers this host.",
    labelNames: [],
    read: () => single(keeper.isStoreInReach ? 1 : 0),
  });
  metrics.addGauge({
    name: 'rattanreel_relay_hosts_heard',
    help: 'Other entry hosts heard within the last second.',
    labelNames: [],
    read: () => single(peerTable.listHeard(clock.now()).length),
  });
}
