import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import applyHealthAssessment from '../servers/applyHealthAssessment';
import type { BackendServer, OccupiedSlot } from '../servers/types';

interface MeasuredFirstToken {
  readonly firstTokenAfter: Milliseconds;
  readonly cachedTokens: number;
}

/**
 * Records the first token of a slot in the slot table, the prefix index, the speed model, the
 * stream limit and the health monitor.
 */
export default function recordFirstToken(
  state: SchedulerState,
  server: BackendServer,
  slot: OccupiedSlot,
  measured: MeasuredFirstToken,
  now: Milliseconds,
): void {
  const { speed, streamLimit, health, prefixes } = server;
  const { cachedTokens, firstTokenAfter } = measured;
  state.slotTable.completePrefill(server, slot, now);
  prefixes.addComputed(slot.prefixHashes);
  prefixes.adjustConfidence(slot.expectedCachedTokens, cachedTokens);
  const computedTokens = Math.max(
    1,
    slot.prefillBacklogTokens + slot.expectedCachedTokens - cachedTokens,
  );
  const slowness = speed.addFirstTokenSample(computedTokens, firstTokenAfter, now);
  streamLimit.recordFirstToken(
    { grantedAt: slot.grantedAt, streams: server.inFlight.size, slowness },
    now,
  );
  applyHealthAssessment(state, server, health.recordSlowness(slowness), 'first tokens late', now);
}
