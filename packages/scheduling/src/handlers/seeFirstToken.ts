import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import judgeHealth from '../servers/judgeHealth';
import type { BackendServer, InFlight } from '../servers/types';
import type { FirstTokenSeen } from '../types';

function learn(
  state: SchedulerState,
  server: BackendServer,
  slot: InFlight,
  seen: FirstTokenSeen,
  now: Milliseconds,
): void {
  const computed = Math.max(1, slot.prefillAhead + slot.expectedCachedTokens - seen.cachedTokens);
  const { speed, limit, health } = server;
  const slowness = speed.learnFirstToken(computed, seen.firstTokenAfter, now);
  limit.firstToken({ grantedAt: slot.grantedAt, streams: server.inFlight.size, slowness }, now);
  judgeHealth(state, server, health.measured(slowness), 'first tokens late', now);
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
  server.prefixes.verified(slot.expectedCachedTokens, seen.cachedTokens);
  learn(state, server, slot, seen, now);
  grantQueued(state, now);
}
