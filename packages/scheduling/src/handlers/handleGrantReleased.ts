import type { Milliseconds } from '@rattanreel/core';
import grantQueued from '../decisions/grantQueued';
import type { SchedulerState } from '../decisions/types';
import getIncarnationKey from '../getIncarnationKey';
import type { BackendServer, OccupiedSlot } from '../servers/types';
import applyHealthAssessment from '../servers/applyHealthAssessment';
import type { GrantReleased, ReleaseOutcome } from '../types';
import recordFirstToken from './recordFirstToken';
import getMeanTokenTime from './getMeanTokenTime';
import getMeanStreams from './getMeanStreams';
import recordFinishedRequest from './recordFinishedRequest';
import recordUnconnected from './recordUnconnected';
import emitVersionEvidence from './emitVersionEvidence';

/** Outcomes with which the request has reached no backend server and may be granted again. */
const UNSENT_OUTCOMES: ReadonlySet<ReleaseOutcome> = new Set(['notDispatched', 'notConnected']);
const MINIMUM_TOKENS_PER_SAMPLE = 4;

function updateEstimates(
  state: SchedulerState,
  server: BackendServer,
  slot: OccupiedSlot,
  released: GrantReleased,
  now: Milliseconds,
): void {
  const tokenTime = getMeanTokenTime(released);
  if (tokenTime !== undefined && released.outputTokens >= MINIMUM_TOKENS_PER_SAMPLE) {
    const streams = getMeanStreams(server, slot, now);
    server.speed.addTokenTimeSample(streams, released.outputTokens, tokenTime);
  }
  if (released.outcome === 'completed') {
    state.workEstimates.addOutputSample(
      slot.route,
      slot.maximumOutputTokens,
      released.outputTokens,
    );
    state.workEstimates.addHoldingSample(slot, released.outputTokens, now - slot.grantedAt);
  }
}

/** Whether a release refers to this slot and not to an older grant of the same request. */
function isReleaseOf(slot: OccupiedSlot, released: GrantReleased): boolean {
  const isSameHost = getIncarnationKey(slot.from) === getIncarnationKey(released.from);
  const isOlder =
    released.outcome === 'notDispatched' &&
    released.echo !== undefined &&
    slot.grant !== undefined &&
    released.echo < slot.grant.echo;
  return isSameHost && slot.backendServer === released.backendServer && !isOlder;
}

/** Releases a slot and updates the estimates with what was measured while it was occupied. */
export default function handleGrantReleased(
  state: SchedulerState,
  released: GrantReleased,
  now: Milliseconds,
): void {
  const slot = state.slotTable.tryGet(released.request);
  const wasSent = !UNSENT_OUTCOMES.has(released.outcome);
  if (wasSent) {
    recordFinishedRequest(state, released.request);
    state.unconnected.delete(released.request);
  }
  if (slot === undefined || !isReleaseOf(slot, released)) {
    return;
  }
  const server = state.servers.get(slot.backendServer)!;
  if (released.outcome === 'completed' && slot.firstTokenAt === undefined) {
    const firstTokenAfter = released.firstTokenAfter ?? released.duration;
    recordFirstToken(state, server, slot, { ...released, firstTokenAfter }, now);
  }
  state.slotTable.release(server, slot, now);
  state.orphanedSlots.delete(slot.request);
  if (wasSent) {
    updateEstimates(state, server, slot, released, now);
    emitVersionEvidence(state, server, slot, released, now);
  }
  if (released.outcome === 'notConnected') {
    recordUnconnected(state, released.request, server);
  }
  applyHealthAssessment(
    state,
    server,
    server.health.recordOutcome(released.outcome),
    released.outcome,
    now,
  );
  grantQueued(state, now);
}
