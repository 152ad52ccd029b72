import type { Metrics } from '@rattanreel/observability';
import type { HostTasks } from './types';

/** Registers the gauges whose values are read on each scrape. */
export default function addGauges(metrics: Metrics, tasks: HostTasks): void {
  const { schedulers, configuration, moves } = tasks;
  metrics.addGauge({
    name: 'rattanreel_queued_requests',
    help: 'Requests queued in the pools scheduled on this host, by tier; 0 is the highest tier.',
    labelNames: ['pool', 'tier'],
    read: () =>
      schedulers.getSummaries().flatMap(({ pool, summary }) =>
        summary.queuedByTier.map((value, tier) => ({
          labels: { pool, tier: String(tier) },
          value,
        })),
      ),
  });
  metrics.addGauge({
    name: 'rattanreel_in_flight_requests',
    help: 'Requests in flight at each backend server of the pools scheduled on this host.',
    labelNames: ['pool', 'backend_server', 'version', 'standing'],
    read: () =>
      schedulers.getSummaries().flatMap(({ pool, summary }) =>
        summary.backendServers.map(({ id, version, standing, inFlight }) => ({
          labels: { pool, backend_server: id, version, standing },
          value: inFlight,
        })),
      ),
  });
  metrics.addGauge({
    name: 'rattanreel_configuration_generation',
    help: 'Generation of the configuration in force on this host; 0 before the first one.',
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
    help: '1 for a move in progress that can no longer meet its deadline, otherwise 0.',
    labelNames: ['pool'],
    read: () =>
      moves.getRecords().map(({ record }) => ({
        labels: { pool: record.pool },
        value: record.late && record.verdict === 'underWay' ? 1 : 0,
      })),
  });
}
