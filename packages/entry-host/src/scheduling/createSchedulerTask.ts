import { Debug } from '@rattanreel/core';
import type { Timer } from '@rattanreel/core';
import type { SchedulerEffect, SchedulerMessage } from '@rattanreel/scheduling';
import type { FromScheduler } from '../types';
import type { SchedulerTask, SchedulerTaskOptions } from './types';

/** Runs a pool scheduler on this entry host until closed. */
export default function createSchedulerTask(options: SchedulerTaskOptions): SchedulerTask {
  const { pool, failureDomain, clock, scheduler, decisions } = options;
  let timer: Timer | undefined;
  let closed = false;

  function recordDecision(effect: FromScheduler): void {
    const common = {
      kind: 'routing',
      request: effect.request,
      pool,
      failureDomain,
      queuedFor: effect.queuedFor,
    } as const;
    switch (effect.kind) {
      case 'grant':
        decisions.record({
          ...common,
          decision: 'granted',
          backendServer: effect.backendServer,
          version: effect.version,
          alternatives: effect.alternatives,
        });
        break;
      case 'refusal':
        decisions.record({
          ...common,
          decision: 'refused',
          reason: effect.reason,
          retryAfter: effect.retryAfter,
        });
        break;
      case 'spillOver':
        decisions.record({ ...common, decision: 'spilledOver', detail: effect.failureDomain });
        break;
      default:
        Debug.assertNever(effect);
    }
  }

  function carryOut(effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'grant':
      case 'refusal':
      case 'spillOver':
        recordDecision(effect);
        options.sendToHost(effect);
        break;
      case 'cancelAtBackendServer':
        options.cancelAtBackendServer(effect);
        break;
      case 'standingChanged':
        decisions.record({
          kind: 'placement',
          decision: `standing-${effect.standing}`,
          pool,
          failureDomain,
          backendServer: effect.backendServer,
          reason: effect.reason,
        });
        break;
      case 'versionEvidence':
        options.receiveEvidence(effect);
        break;
      default:
        Debug.assertNever(effect);
    }
  }

  function handle(message: SchedulerMessage): void {
    if (closed) {
      return;
    }
    scheduler.handle(message, clock.now()).forEach(carryOut);
    scheduleWakeUp();
  }

  function scheduleWakeUp(): void {
    timer?.cancel();
    const now = clock.now();
    const wakeUpAt = scheduler.tryGetNextWakeUp(now);
    if (wakeUpAt !== undefined) {
      timer = clock.after(Math.max(1, wakeUpAt - now), () => handle({ kind: 'timePassed' }));
    }
  }

  return {
    pool,
    handle,
    getSummary: () => scheduler.getSummary(clock.now()),
    close() {
      closed = true;
      timer?.cancel();
    },
  };
}
