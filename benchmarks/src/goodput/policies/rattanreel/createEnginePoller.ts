import type { SchedulerMessage } from '@rattanreel/scheduling';
import type { SimulatedEngine, World } from '../../types';

const POLL_INTERVAL_MILLISECONDS = 500;

interface EnginePollerOptions {
  readonly world: World;
  readonly engine: SimulatedEngine;
  report(message: SchedulerMessage): void;
}

/** Polls an engine for its load and its cache events until closed. */
export default function createEnginePoller(options: EnginePollerOptions): { close(): void } {
  const { world, engine, report } = options;
  const { id, model } = engine;
  const oneWayLatency = world.getLatency(engine.failureDomain, engine.failureDomain);
  let latestSequence = 0;
  let closed = false;

  function reportLoad(): void {
    const load = model.getLoad();
    const message: SchedulerMessage = {
      kind: 'loadReported',
      backendServer: id,
      backendServerIncarnation: load.incarnation,
      reportAge: load.reportedAgo + oneWayLatency,
      runningRequests: load.running,
      waitingRequests: load.waiting,
      memoryTokensUsed: load.memoryTokensUsed,
      memoryTokensTotal: load.memoryTokensTotal,
      version: load.version,
      ready: load.ready,
      leaving: load.leaving,
    };
    world.clock.after(oneWayLatency, () => report(message));
  }

  function reportCache(): void {
    model.getCacheEventsAfter(latestSequence).forEach((event) => {
      latestSequence = Math.max(latestSequence, event.sequence);
      const message: SchedulerMessage = { kind: 'cacheChanged', backendServer: id, ...event };
      world.clock.after(oneWayLatency, () => report(message));
    });
  }

  function poll(): void {
    if (closed) {
      return;
    }
    if (engine.reachable) {
      reportLoad();
      reportCache();
    }
    world.clock.after(POLL_INTERVAL_MILLISECONDS, poll);
  }

  poll();
  return {
    close() {
      closed = true;
    },
  };
}
