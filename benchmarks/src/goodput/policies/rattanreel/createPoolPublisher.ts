import type { FailureDomainId } from '@rattanreel/core';
import type { RemotePool, PoolChanged } from '@rattanreel/scheduling';
import type { PoolName, World } from '../../types';
import type { PublishedSummary, SchedulerRunner } from './types';

const SUMMARY_INTERVAL_MILLISECONDS = 500;
const VERSION = 'v1';

interface PoolPublisherOptions {
  readonly world: World;
  getRunners(): readonly SchedulerRunner[];
}

/** Sends schedulers the configuration and the last capacity summaries of other failure domains. */
interface PoolPublisher {
  start(): void;
  publishTo(runner: SchedulerRunner): void;
}

/** Creates a publisher that sends to each scheduler at intervals. */
export default function createPoolPublisher(options: PoolPublisherOptions): PoolPublisher {
  const { world } = options;
  const { clock, deployment, drainedDomains } = world;
  const published = new Map<string, PublishedSummary>();

  const getPoolKey = (pool: PoolName, failureDomain: FailureDomainId): string =>
    `${pool} ${failureDomain}`;

  function getRemotePools(pool: PoolName, failureDomain: FailureDomainId): RemotePool[] {
    const last = published.get(getPoolKey(pool, failureDomain));
    if (last === undefined) {
      return [];
    }
    return [
      {
        ...last.summary,
        failureDomain,
        summaryAge: clock.now() - last.publishedAt + deployment.betweenDomainsMilliseconds,
        drained: drainedDomains.has(failureDomain),
      },
    ];
  }

  function createPoolChanged({ pool, failureDomain }: SchedulerRunner): PoolChanged {
    const engines = world.engines.filter(
      (engine) => engine.pool === pool && engine.failureDomain === failureDomain,
    );
    return {
      kind: 'poolChanged',
      backendServers: engines.map(({ settings }) => settings),
      shares: [{ version: VERSION, share: 1 }],
      tiers: deployment.tiers.length,
      domainDrained: drainedDomains.has(failureDomain),
      remotePools: deployment.failureDomains
        .filter(({ id }) => id !== failureDomain)
        .flatMap(({ id }) => getRemotePools(pool, id)),
    };
  }

  function publish(): void {
    options.getRunners().forEach((runner) => {
      if (runner.host.alive) {
        const summary = runner.getSummary();
        published.set(getPoolKey(runner.pool, runner.failureDomain), {
          summary,
          publishedAt: clock.now(),
        });
      }
    });
    options.getRunners().forEach((runner) => runner.handle(createPoolChanged(runner)));
    clock.after(SUMMARY_INTERVAL_MILLISECONDS, publish);
  }

  return { start: publish, publishTo: (runner) => runner.handle(createPoolChanged(runner)) };
}
