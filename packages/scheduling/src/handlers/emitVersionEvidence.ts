import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import type { BackendServer, OccupiedSlot, ReferenceSpeed } from '../servers/types';
import type { GrantReleased } from '../types';
import getMeanTokenTime from './getMeanTokenTime';
import getMeanStreams from './getMeanStreams';

/** Reported times of a backend server that is exactly as fast as expected of its hardware. */
const NOMINAL_FIRST_TOKEN_MS = 200;
const NOMINAL_BETWEEN_TOKENS_MS = 20;

/**
 * Returns the speed with which a version's times are compared: that of this backend server, under
 * the previous version if the version has changed. Undefined when no such speed is known, and
 * during slow start, which slows down every version.
 */
function tryGetReferenceSpeed(server: BackendServer): ReferenceSpeed | undefined {
  if (server.streamLimit.isSlowStart) {
    return undefined;
  }
  if (server.hasChangedVersion) {
    return server.previousVersionSpeed;
  }
  return server.speed.hasEnoughSamples ? server.speed : undefined;
}

/**
 * Emits the measurements of a finished request as evidence about its version, with times normalised
 * by hardware speed. Emits nothing when the caller disconnected.
 */
export default function emitVersionEvidence(
  state: SchedulerState,
  server: BackendServer,
  slot: OccupiedSlot,
  released: GrantReleased,
  now: Milliseconds,
): void {
  if (released.outcome === 'callerGone') {
    return;
  }
  const reference = tryGetReferenceSpeed(server);
  const tokenTime = getMeanTokenTime(released);
  const { firstTokenAfter } = released;
  const computedTokens = Math.max(
    1,
    slot.prefillBacklogTokens + slot.expectedCachedTokens - released.cachedTokens,
  );
  state.effects.push({
    kind: 'versionEvidence',
    version: slot.version,
    route: slot.route,
    tier: slot.tier,
    failed: released.outcome !== 'completed',
    firstTokenAfter:
      reference === undefined || firstTokenAfter === undefined
        ? undefined
        : (NOMINAL_FIRST_TOKEN_MS * firstTokenAfter) /
          reference.predictFirstTokenAfter(computedTokens),
    betweenTokens:
      reference === undefined || tokenTime === undefined
        ? undefined
        : (NOMINAL_BETWEEN_TOKENS_MS * tokenTime) /
          reference.predictTokenTime(getMeanStreams(server, slot, now)),
    outputTokens: released.outputTokens,
    promptTokens: slot.promptTokens,
  });
}
