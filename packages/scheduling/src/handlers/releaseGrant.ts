import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import getIncarnationKey from '../getIncarnationKey';
import type { BackendServer, InFlight } from '../servers/types';
import judgeHealth from '../servers/judgeHealth';
import type { GrantReleased, ReleaseOutcome } from '../types';
import learnFirstToken from './learnFirstToken';
import getBetweenTokens from './getBetweenTokens';
import getMeanStreams from './getMeanStreams';
import rememberFinished from './rememberFinished';
import tellEvidence from './tellEvidence';

/** Outcomes after which the request has reached no backend server and may be granted again. */
const UNSENT_OUTCOMES: ReadonlySet<ReleaseOutcome> = new Set(['notDispatched', 'notConnected']);
const FEWEST_TOKENS_TO_LEARN = 4;

function learn(
  state: SchedulerState,
  server: BackendServer,
  slot: InFlight,
  released: GrantReleased,
  now: Milliseconds,
): void {
  const tokenTime = getBetweenTokens(released);
  if (tokenTime !== undefined && released.outputTokens >= FEWEST_TOKENS_TO_LEARN) {
    const streams = getMeanStreams(server, slot, now);
    server.speed.learnTokenTime(streams, released.outputTokens, tokenTime);
  }
  if (released.outcome === 'completed') {
    state.work.learnOutput(slot.route, slot.maximumOutputTokens, released.outputTokens);
    state.work.learnHolding(slot, released.outputTokens, now - slot.grantedAt);
  }
}

/** Whether a release gives back this slot, and not an older grant of the same request. */
function isReleaseOf(slot: InFlight, released: GrantReleased): boolean {
  const isSameHost = getIncarnationKey(slot.from) === getIncarnationKey(released.from);
  const isOlder =
    released.outcome === 'notDispatched' &&
    released.echo !== undefined &&
    slot.grant !== undefined &&
    released.echo < slot.grant.echo;
  return isSameHost && slot.backendServer === released.backendServer && !isOlder;
}

/** Frees a slot and learns from what was measured while it was held. */
export default function releaseGrant(
  state: SchedulerState,
  released: GrantReleased,
  now: Milliseconds,
): void {
  const slot = state.ledger.tryGet(released.request);
  const sent = !UNSENT_OUTCOMES.has(released.outcome);
  if (sent) {
    rememberFinished(state, released.request);
  }
  if (slot === undefined || !isReleaseOf(slot, released)) {
    return;
  }
  const server = state.servers.get(slot.backendServer)!;
  if (released.outcome === 'completed' && slot.firstTokenAt === undefined) {
    const firstTokenAfter = released.firstTokenAfter ?? released.duration;
    learnFirstToken(state, server, slot, { ...released, firstTokenAfter }, now);
  }
  state.ledger.free(server, slot, now);
  state.orphans.delete(slot.request);
  if (sent) {
    learn(state, server, slot, released, now);
    tellEvidence(state, server, slot, released, now);
  }
  judgeHealth(state, server, server.health.finished(released.outcome), released.outcome, now);
  grantQueued(state, now);
}
