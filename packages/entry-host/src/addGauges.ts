import type { Metrics } from '@rattanreel/observability';
import type { HostTasks } from './types';

/** Adds the figures that are read at the time of a scrape. */
export default function addGauges(metrics: Metrics, tasks: HostTasks): void {
  const { schedulers, configuration, moves } = tasks;
  metrics.addGauge({
    name: 'rattanreel_queued_requests',
    help: 'Requests queued at the pools scheduled here, by tier; 0 is the most important.',
    labelNames: ['pool', 'tier'],
    read: () =>
      schedulers.summaries().flatMap(({ pool, summary }) =>
        summary.queuedByTier.map((value, tier) => ({
          labels: { pool, tier: String(tier) },
          value,
        })),
      ),
  });
  metrics.addGauge({
    name: 'rattanreel_in_flight_requests',
    help: 'Requests in flight at each backend server of the pools scheduled here.',
    labelNames: ['pool', 'backend_server', 'version', 'standing'],
    read: () =>
      schedulers.summaries().flatMap(({ pool, summary }) =>
        summary.backendServers.map(({ id, version, standing, inFlight }) => ({
          labels: { pool, backend_server: id, version, standing },
          value: inFlight,
        })),
      ),
  });
  metrics.addGauge({
    name: 'rattanreel_configuration_generation',
    help: 'Generation of the configuration in force here; 0 before the first.',
    labelNames: [],
    read: () => [
      {
        labels: {},
        value: configuration.tryGetReplica()?.status().activeConfiguration?.generation ?? 0,
      },
    ],
  });
  metrics.addGauge({
    name: 'rattanreel_moves_late',
    help: 'Moves under way that cannot meet their deadline any more.',
    labelNames: ['pool'],
    read: () =>
      moves.records().map(({ record }) => ({
        labels: { pool: record.pool },
        value: record.late && record.verdict === 'underWay' ? 1 : 0,
      })),
  });
}
