import type { Milliseconds } from '@rattanreel/core';
import type { SchedulerState } from '../decisions/types';
import judgeHealth from '../servers/judgeHealth';
import type { BackendServer, InFlight } from '../servers/types';

interface MeasuredFirstToken {
  readonly firstTokenAfter: Milliseconds;
  readonly cachedTokens: number;
}

/** Takes the first token of a slot into the ledger, the learnt speed, the bound on streams and the health. */
export default function learnFirstToken(
  state: SchedulerState,
  server: BackendServer,
  slot: InFlight,
  measured: MeasuredFirstToken,
  now: Milliseconds,
): void {
  const { speed, limit, health, prefixes } = server;
  const { cachedTokens, firstTokenAfter } = measured;
  state.ledger.prefillDone(server, slot, now);
  prefixes.computed(slot.prefixHashes);
  prefixes.verified(slot.expectedCachedTokens, cachedTokens);
  const computed = Math.max(1, slot.prefillAhead + slot.expectedCachedTokens - cachedTokens);
  const slowness = speed.learnFirstToken(computed, firstTokenAfter, now);
  limit.firstToken({ grantedAt: slot.grantedAt, streams: server.inFlight.size, slowness }, now);
  judgeHealth(state, server, health.measured(slowness), 'first tokens late', now);
}
