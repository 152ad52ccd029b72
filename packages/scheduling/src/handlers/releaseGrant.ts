import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import type { BackendServer, InFlight } from '../servers/types';
import judgeHealth from '../servers/judgeHealth';
import type { GrantReleased } from '../types';
import rememberFinished from './rememberFinished';

const FEWEST_TOKENS_TO_LEARN = 4;

/** Mean number of streams between a slot's first token and now. */
function meanStreams(server: BackendServer, slot: InFlight, now: Milliseconds): number {
  const since = slot.firstTokenAt ?? slot.grantedAt;
  const span = now - since;
  const area = server.streamTime - slot.streamTimeAtFirstToken;
  return span > 0 ? Math.max(1, area / span) : server.inFlight.size + 1;
}

function betweenTokens(released: GrantReleased): Milliseconds | undefined {
  if (released.firstTokenAfter === undefined || released.outputTokens < 2) {
    return undefined;
  }
  return (released.duration - released.firstTokenAfter) / (released.outputTokens - 1);
}

function learn(
  state: SchedulerState,
  server: BackendServer,
  slot: InFlight,
  released: GrantReleased,
  now: Milliseconds,
): void {
  const tokenTime = betweenTokens(released);
  if (tokenTime !== undefined && released.outputTokens >= FEWEST_TOKENS_TO_LEARN) {
    const streams = meanStreams(server, slot, now);
    const ratio = server.speed.learnTokenTime(streams, released.outputTokens, tokenTime);
    if (server.speed.isLearnt) {
      judgeHealth(state, server, server.health.measured(ratio), 'token time', now);
    }
  }
  if (released.outcome === 'completed') {
    state.work.learnOutput(slot.route, slot.maximumOutputTokens, released.outputTokens);
    state.work.learnHolding(slot.promptTokens + released.outputTokens, now - slot.grantedAt);
    server.prefixes.verified(slot.expectedCachedTokens, released.cachedTokens);
  }
}

function tellEvidence(state: SchedulerState, slot: InFlight, released: GrantReleased): void {
  if (released.outcome === 'notDispatched' || released.outcome === 'callerGone') {
    return;
  }
  state.effects.push({
    kind: 'versionEvidence',
    version: slot.version,
    route: slot.route,
    tier: slot.tier,
    failed: released.outcome !== 'completed',
    firstTokenAfter: released.firstTokenAfter,
    betweenTokens: betweenTokens(released),
    outputTokens: released.outputTokens,
    promptTokens: slot.promptTokens,
  });
}

/** Frees a slot and learns from what was measured while it was held. */
export default function releaseGrant(
  state: SchedulerState,
  released: GrantReleased,
  now: Milliseconds,
): void {
  const slot = state.ledger.tryGet(released.request);
  if (slot === undefined || slot.backendServer !== released.backendServer) {
    return;
  }
  const server = state.servers.get(slot.backendServer)!;
  const streams = server.inFlight.size;
  state.ledger.free(server, slot, now);
  state.orphans.delete(slot.request);
  if (released.outcome !== 'notDispatched') {
    rememberFinished(state, slot.request);
    learn(state, server, slot, released, now);
    tellEvidence(state, slot, released);
  }
  if (released.outcome === 'completed') {
    server.limit.succeeded(streams);
  }
  judgeHealth(state, server, server.health.finished(released.outcome), released.outcome, now);
  grantQueued(state, now);
}
