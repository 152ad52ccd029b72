import type { BackendServerId, Milliseconds } from '@rattanreel/core';
import type { World } from '../types';
import type { ReportedLoad, ReportedLoads } from './types';

const POLL_INTERVAL_MILLISECONDS = 500;

/**
 * Polls every engine for its load at fixed intervals, first after `delay`. An engine that is
 * unreachable, unready or leaving is not usable, and one that was not polled yet counts as idle.
 */
export default function startPolling(world: World, delay: Milliseconds): ReportedLoads {
  const loads = new Map<BackendServerId, ReportedLoad>();

  function poll(): void {
    world.engines.forEach(({ id, model, reachable }) => {
      const { running, waiting, ready, leaving } = model.getLoad();
      const usable = reachable && ready && !leaving;
      loads.set(id, { requests: running + waiting, usable });
    });
    world.clock.after(POLL_INTERVAL_MILLISECONDS, poll);
  }

  world.engines.forEach(({ id }) => loads.set(id, { requests: 0, usable: true }));
  world.clock.after(delay, poll);
  return loads;
}
