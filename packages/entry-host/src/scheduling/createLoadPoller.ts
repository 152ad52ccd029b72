import type { BackendServerId, Timer } from '@rattanreel/core';
import type { LoadResponse } from '@rattanreel/dispatch';
import type { LoadReported } from '@rattanreel/scheduling';
import type { LoadPoller, LoadPollerOptions } from './types';

const POLL_INTERVAL_MS = 500;

function toLoadReported(backendServer: BackendServerId, load: LoadResponse): LoadReported {
  return {
    kind: 'loadReported',
    backendServer,
    backendServerIncarnation: load.incarnation,
    reportAge: load.reportedAgo,
    runningRequests: load.running,
    waitingRequests: load.waiting,
    memoryTokensUsed: load.memoryTokensUsed,
    memoryTokensTotal: load.memoryTokensTotal,
    version: load.version,
    ready: load.ready,
    leaving: load.leaving,
  };
}

/** Polls one backend server for its load and its cache events until closed. */
export default function createLoadPoller(options: LoadPollerOptions): LoadPoller {
  const { backendServer, address, clock, engineClient, report } = options;
  let timer: Timer | undefined;
  let closed = false;
  let latestSequence = 0;

  async function pollLoad(): Promise<void> {
    const load = await engineClient.fetchLoad(address);
    if (load.kind === 'ok' && !closed) {
      report(toLoadReported(backendServer, load.value));
    }
  }

  async function pollCacheEvents(): Promise<void> {
    const events = await engineClient.fetchCacheEvents(address, latestSequence);
    if (events.kind !== 'ok' || closed) {
      return;
    }
    for (const event of events.value) {
      latestSequence = Math.max(latestSequence, event.sequence);
      report({ kind: 'cacheChanged', backendServer, ...event });
    }
  }

  async function poll(): Promise<void> {
    await pollLoad();
    if (options.publishesCacheEvents) {
      await pollCacheEvents();
    }
    if (!closed) {
      timer = clock.after(POLL_INTERVAL_MS, startPoll);
    }
  }

  function startPoll(): void {
    void poll();
  }

  startPoll();
  return {
    close() {
      closed = true;
      timer?.cancel();
    },
  };
}
