import type { FailureDomainId } from '@rattanreel/core';
import type { SchedulerEffect } from '@rattanreel/scheduling';
import type { PoolName, SimulatedHost, World } from '../../types';
import createSchedulerRunner from './createSchedulerRunner';
import type { MembershipModel, SchedulerRunner } from './types';

interface PlacementOptions {
  readonly world: World;
  readonly membership: MembershipModel;
  readonly seed: number;
  onEffect(runner: SchedulerRunner, effect: SchedulerEffect): void;
  /** Called when a scheduler has started and has to be sent the pool and its members. */
  onStarted(runner: SchedulerRunner): void;
}

/**
 * Runs one scheduler for each pool of each failure domain, on a host that membership shows as
 * alive.
 */
interface SchedulerPlacement {
  /** Moves schedulers to the hosts that own them in the current membership. */
  update(): void;
  tryGet(pool: PoolName, failureDomain: FailureDomainId): SchedulerRunner | undefined;
  getAll(): readonly SchedulerRunner[];
}

const POOLS: readonly PoolName[] = ['drafts', 'orders'];

/** Creates a placement that runs no scheduler before the first update. */
export default function createSchedulerPlacement(options: PlacementOptions): SchedulerPlacement {
  const { world, membership } = options;
  const runners = new Map<string, SchedulerRunner>();
  let startCount = 0;

  const getPoolKey = (pool: PoolName, failureDomain: FailureDomainId): string =>
    `${pool} ${failureDomain}`;

  function start(pool: PoolName, failureDomain: FailureDomainId, host: SimulatedHost): void {
    startCount += 1;
    const runner: SchedulerRunner = createSchedulerRunner({
      world,
      host,
      pool,
      failureDomain,
      seed: options.seed + startCount,
      onEffect: (effect) => options.onEffect(runner, effect),
    });
    runners.set(getPoolKey(pool, failureDomain), runner);
    options.onStarted(runner);
  }

  function place(pool: PoolName, failureDomain: FailureDomainId): void {
    const hasEngines = world.engines.some(
      (engine) => engine.pool === pool && engine.failureDomain === failureDomain,
    );
    const alive = membership.getAliveIn(failureDomain);
    const owner = pool === 'drafts' ? alive[0] : alive.at(-1);
    const current = runners.get(getPoolKey(pool, failureDomain));
    if (!hasEngines || current?.incarnation === owner?.incarnation) {
      return;
    }
    current?.close();
    runners.delete(getPoolKey(pool, failureDomain));
    if (owner !== undefined) {
      start(pool, failureDomain, world.getHost(owner.entryHost));
    }
  }

  return {
    update: () =>
      world.deployment.failureDomains.forEach(({ id }) => POOLS.forEach((pool) => place(pool, id))),
    tryGet: (pool, failureDomain) => runners.get(getPoolKey(pool, failureDomain)),
    getAll: () => [...runners.values()],
  };
}
