import type { Timer } from '@rattanreel/core';
import { Debug } from '@rattanreel/core';
import { createPoolScheduler } from '@rattanreel/scheduling';
import type { PoolSummary, SchedulerEffect, SchedulerMessage } from '@rattanreel/scheduling';
import createPausableProcess from './createPausableProcess';
import type { FakeSchedulerHost, SoakWorld } from './types';

const MINIMUM_WAKE_UP_DELAY_MILLISECONDS = 1;

interface FakeSchedulerHostOptions {
  readonly world: SoakWorld;
  readonly seed: number;
  readonly handover: boolean;
  apply(effect: SchedulerEffect): void;
}

const LOAD_INDEPENDENT_REASONS: ReadonlySet<string> = new Set([
  'deadlinePassed',
  'tooLargeForAnyBackendServer',
]);

/** Asserts that no request is refused because of load while a lower tier is queued. */
function assertTierOrder(effect: SchedulerEffect, tier: number, summary: PoolSummary): void {
  if (effect.kind !== 'refusal' || LOAD_INDEPENDENT_REASONS.has(effect.reason)) {
    return;
  }
  const lower = summary.queuedByTier.slice(tier + 1).reduce((sum, count) => sum + count, 0);
  Debug.invariant(
    lower === 0,
    'soak-higher-tier-refused-first',
    () => `${effect.request} of tier ${tier}: ${effect.reason} with ${lower} of lower tiers queued`,
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
  const hostProcess = createPausableProcess(clock);
  let wakeUp: Timer | undefined;

  function scheduleWakeUp(onWakeUp: () => void): void {
    wakeUp?.cancel();
    const next = scheduler.tryGetNextWakeUp(clock.now());
    if (next !== undefined) {
      wakeUp = clock.after(
        Math.max(MINIMUM_WAKE_UP_DELAY_MILLISECONDS, next - clock.now()),
        onWakeUp,
      );
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
    scheduleWakeUp(() => hostProcess.run(() => handle({ kind: 'timePassed' })));
  }

  return {
    receive: (message) => hostProcess.run(() => handle(message)),
    pause: hostProcess.pause,
    kill() {
      hostProcess.kill();
      wakeUp?.cancel();
    },
    getSummary: () => scheduler.getSummary(clock.now()),
  };
}
