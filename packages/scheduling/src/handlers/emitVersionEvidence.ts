import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import type { BackendServer, OccupiedSlot, ReferenceSpeed } from '../servers/types';
import type { GrantReleased } from '../types';
import getMeanTokenTime from './getMeanTokenTime';
import getMeanStreams from './getMeanStreams';

/** Times of a backend server that is exactly as fast as expected of its hardware. */
const NOMINAL_FIRST_TOKEN_MS = 200;
const NOMINAL_BETWEEN_TOKENS_MS = 20;

/**
 * The speed that a version's times are held against: this hardware's own, under the version before if the
 * version has changed. Undefined when nothing is known to compare with, and while the backend server is cold,
 * which slows every version down.
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

/** Tells how a finished request speaks for its version, with times freed of the hardware's speed. */
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
        : (NOMINAL_FIRST_TOKEN_MS * firstTokenAfter) / reference.firstTokenAfter(computedTokens),
    betweenTokens:
      reference === undefined || tokenTime === undefined
        ? undefined
        : (NOMINAL_BETWEEN_TOKENS_MS * tokenTime) /
          reference.tokenTime(getMeanStreams(server, slot, now)),
    outputTokens: released.outputTokens,
    promptTokens: slot.promptTokens,
  });
}
