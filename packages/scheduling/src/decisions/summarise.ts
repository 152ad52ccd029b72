import type { Milliseconds } from '@rattanreel/core';
import type { BackendServer } from '../servers/types';
import type { PoolSummary } from '../types';
import isUsable from './isUsable';
import type { SchedulerState } from './types';

/** Memory that a backend server could still give to new requests within its limit of streams. */
function spareTokens(state: SchedulerState, server: BackendServer): number {
  if (!isUsable(state, server) || state.domainDrained) {
    return 0;
  }
  const streams = Math.max(0, server.limit.current - server.inFlight.size - server.unknownStreams);
  const memory = Math.max(0, server.memoryTokens - server.reservedTokens);
  return Math.min(memory, streams * state.work.meanCost);
}

/** What other failure domains and the metrics are told. */
export default function summarise(state: SchedulerState, now: Milliseconds): PoolSummary {
  const servers = [...state.servers.values()];
  const queuedByTier = Array.from(
    { length: state.tiers },
    (_, tier) => state.queue.countOfTier(tier) + state.deferred.countOfTier(tier),
  );
  return {
    spareTokens: servers.reduce((sum, server) => sum + spareTokens(state, server), 0),
    queuedTokens: state.queue.costThrough(Number.POSITIVE_INFINITY),
    queuedByTier,
    inFlight: state.ledger.size,
    isHandingOver: !state.handover.isOver(now),
    backendServers: servers.map((server) => ({
      id: server.settings.id,
      standing: server.standing,
      version: server.version,
      inFlight: server.inFlight.size,
      inFlightTokens: server.reservedTokens,
      streamLimit: server.limit.current,
    })),
  };
}
