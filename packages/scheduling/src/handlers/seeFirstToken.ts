import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import judgeHealth from '../servers/judgeHealth';
import type { BackendServer, InFlight } from '../servers/types';
import type { FirstTokenSeen } from '../types';

const CONGESTED_RATIO = 2;

function learn(
  state: SchedulerState,
  server: BackendServer,
  slot: InFlight,
  seen: FirstTokenSeen,
  now: Milliseconds,
): void {
  const computed = slot.prefillAhead - Math.max(0, seen.cachedTokens - slot.expectedCachedTokens);
  const wasLearnt = server.speed.isLearnt;
  const ratio = server.speed.learnFirstToken(
    Math.max(1, computed),
    slot.streamsAtGrant,
    seen.firstTokenAfter,
  );
  if (!wasLearnt || ratio < CONGESTED_RATIO) {
    server.limit.succeeded(server.inFlight.size);
  } else {
    server.limit.congested(now);
  }
  if (wasLearnt) {
    judgeHealth(state, server, server.health.measured(ratio), 'first token late', now);
  }
}

/** Notes that a slot's prompt has been computed, which makes room for the next prompt. */
export default function seeFirstToken(
  state: SchedulerState,
  seen: FirstTokenSeen,
  now: Milliseconds,
): void {
  const slot = state.ledger.tryGet(seen.request);
  if (slot === undefined || slot.firstTokenAt !== undefined) {
    return;
  }
  const server = state.servers.get(slot.backendServer)!;
  state.ledger.prefillDone(server, slot, now);
  server.prefixes.computed(slot.prefixHashes);
  learn(state, server, slot, seen, now);
  grantQueued(state, now);
}
