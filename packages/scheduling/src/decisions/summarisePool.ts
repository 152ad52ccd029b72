import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from '../servers/types';
import type { PoolSummary } from '../types';
import isUsable from './isUsable';
import type { SchedulerState } from './types';

/**
 * Returns the memory, in tokens, that a backend server could give to new requests within its stream
 * limit.
 */
function getSpareTokens(state: SchedulerState, server: BackendServer): number {
  if (!isUsable(state, server) || state.domainDrained) {
    return 0;
  }
  const streams = Math.max(
    0,
    server.streamLimit.current - server.inFlight.size - server.unaccountedStreams,
  );
  const memory = Math.max(0, server.memoryTokens - server.reservedTokens);
  return Math.min(memory, streams * state.workEstimates.meanCostTokens);
}

/** Returns the state of the pool for the other failure domains and the metrics. */
export default function summarisePool(state: SchedulerState, now: Milliseconds): PoolSummary {
  const servers = [...state.servers.values()];
  const queuedByTier = Array.from(
    { length: state.tierCount },
    (_, tier) => state.queue.countOfTier(tier) + state.deferredRefusals.countOfTier(tier),
  );
  return {
    spareTokens: servers.reduce((sum, server) => sum + getSpareTokens(state, server), 0),
    queuedTokens: state.queue.getCostThrough(Number.POSITIVE_INFINITY),
    queuedByTier,
    inFlight: state.slotTable.size,
    isHandingOver: !state.handover.isOver(now),
    backendServers: servers.map((server) => ({
      id: server.settings.id,
      standing: server.standing,
      version: server.version,
      inFlight: server.inFlight.size,
      inFlightTokens: server.reservedTokens,
      streamLimit: server.streamLimit.current,
    })),
  };
}
