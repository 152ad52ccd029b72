import type { Timer } from '@rattanreel/core';
import { Debug } from '@rattanreel/core';
import { createPoolScheduler } from '@rattanreel/scheduling';
import type { PoolSummary, SchedulerEffect, SchedulerMessage } from '@rattanreel/scheduling';
import createPausable from './createPausable';
import type { FakeSchedulerHost, SoakWorld } from './types';

const SHORTEST_WAKE_UP_MILLISECONDS = 1;

interface FakeSchedulerHostOptions {
  readonly world: SoakWorld;
  readonly seed: number;
  readonly handover: boolean;
  apply(effect: SchedulerEffect): void;
}

const FACTS: ReadonlySet<string> = new Set(['deadlinePassed', 'tooLargeForAnyBackendServer']);

/** Refusals that depend on load must not come while a lower tier is queued. */
function assertTierOrder(effect: SchedulerEffect, tierOf: number, summary: PoolSummary): void {
  if (effect.kind !== 'refusal' || FACTS.has(effect.reason)) {
    return;
  }
  const lower = summary.queuedByTier.slice(tierOf + 1).reduce((sum, count) => sum + count, 0);
  Debug.invariant(
    lower === 0,
    'soak-higher-tier-refused-first',
    () =>
      `${effect.request} of tier ${tierOf}: ${effect.reason} with ${lower} of lower tiers queued`,
  );
}

/** Starts a pool scheduler of the randomised runs. */
export default function createFakeSchedulerHost(
  options: FakeSchedulerHostOptions,
): FakeSchedulerHost {
  const { clock } = options.world;
  const scheduler = createPoolScheduler({
    pool: 'pool',
    failureDomain: 'd1',
    needsHandover: options.handover,
    startedAt: clock.now(),
    seed: options.seed,
    policy: { queueCapacity: 60 },
  });
  const tiers = new Map<string, number>();
  const process = createPausable(clock);
  let wakeUp: Timer | undefined;

  function planWakeUp(wake: () => void): void {
    wakeUp?.cancel();
    const next = scheduler.tryGetNextWakeUp(clock.now());
    if (next !== undefined) {
      wakeUp = clock.after(Math.max(SHORTEST_WAKE_UP_MILLISECONDS, next - clock.now()), wake);
    }
  }

  function handle(message: SchedulerMessage): void {
    if (message.kind === 'grantRequested') {
      tiers.set(message.request, message.tier);
    }
    scheduler.handle(message, clock.now()).forEach((effect) => {
      if (effect.kind === 'refusal') {
        assertTierOrder(effect, tiers.get(effect.request)!, scheduler.getSummary(clock.now()));
      }
      options.apply(effect);
    });
    planWakeUp(() => process.run(() => handle({ kind: 'timePassed' })));
  }

  return {
    receive: (message) => process.run(() => handle(message)),
    pause: process.pause,
    die() {
      process.die();
      wakeUp?.cancel();
    },
    summary: () => scheduler.getSummary(clock.now()),
  };
}
