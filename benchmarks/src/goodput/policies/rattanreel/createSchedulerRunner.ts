import type { FailureDomainId, Timer } from '@rattanreel/core';
import { createPoolScheduler } from '@rattanreel/scheduling';
import type { SchedulerEffect, SchedulerMessage } from '@rattanreel/scheduling';
import type { PoolName, SimulatedHost, World } from '../../types';
import createEnginePoller from './createEnginePoller';
import type { SchedulerRunner } from './types';

interface SchedulerRunnerOptions {
  readonly world: World;
  readonly host: SimulatedHost;
  readonly pool: PoolName;
  readonly failureDomain: FailureDomainId;
  readonly seed: number;
  onEffect(effect: SchedulerEffect): void;
}

const MINIMUM_WAKE_UP_DELAY_MILLISECONDS = 1;

/** Runs the real scheduler on an entry host, polls the engines for it and wakes it up. */
export default function createSchedulerRunner(options: SchedulerRunnerOptions): SchedulerRunner {
  const { world, host, pool, failureDomain } = options;
  const { clock } = world;
  const { incarnation } = host;
  const scheduler = createPoolScheduler({
    pool,
    failureDomain,
    needsHandover: true,
    startedAt: clock.now(),
    seed: options.seed,
  });
  let timer: Timer | undefined;
  let closed = false;

  const isRunning = (): boolean => !closed && host.alive && host.incarnation === incarnation;

  function scheduleWakeUp(): void {
    timer?.cancel();
    const now = clock.now();
    const due = scheduler.tryGetNextWakeUp(now);
    if (due !== undefined) {
      const wait = Math.max(MINIMUM_WAKE_UP_DELAY_MILLISECONDS, due - now);
      timer = clock.after(wait, () => handle({ kind: 'timePassed' }));
    }
  }

  function handle(message: SchedulerMessage): void {
    if (isRunning()) {
      scheduler.handle(message, clock.now()).forEach(options.onEffect);
      scheduleWakeUp();
    }
  }

  const pollers = world.engines
    .filter((engine) => engine.pool === pool && engine.failureDomain === failureDomain)
    .map((engine) => createEnginePoller({ world, engine, report: handle }));

  return {
    host,
    incarnation,
    pool,
    failureDomain,
    handle,
    getSummary: () => scheduler.getSummary(clock.now()),
    close() {
      closed = true;
      timer?.cancel();
      pollers.forEach((poller) => poller.close());
    },
  };
}
