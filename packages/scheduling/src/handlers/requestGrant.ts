import type { Milliseconds } from '@rattanreel/core';
import estimateBest from '../decisions/estimateBest';
import expectedWait from '../decisions/expectedWait';
import getBand from '../decisions/getBand';
import getPoolSpeed from '../decisions/getPoolSpeed';
import getLowestTier from '../decisions/getLowestTier';
import giveUp from '../decisions/giveUp';
import grantQueued from '../decisions/grantQueued';
import hasProspect from '../decisions/hasProspect';
import refuse from '../decisions/refuse';
import spillOrRefuse from '../decisions/spillOrRefuse';
import trySpill from '../decisions/trySpill';
import tryTakeLowest from '../decisions/tryTakeLowest';
import type { SchedulerState } from '../decisions/types';
import getIncarnationKey from '../getIncarnationKey';
import type { QueuedRequest } from '../queue/types';
import type { GrantRequested, RefusalReason } from '../types';

const NOT_HELD = -1;
/** Times that the best first token and answer are taken in the order of service. */
const FIRST_TOKEN_MARGIN = 3;
const ANSWER_MARGIN = 1.5;
/** Share of the time left that the expected wait may take, whatever the request's length. */
const SLACK_SHARE_TO_WAIT = 0.7;

function toQueued(state: SchedulerState, asked: GrantRequested, now: Milliseconds): QueuedRequest {
  const output = state.work.expectedOutputTokens(asked.route, asked.maximumOutputTokens);
  const best = estimateBest(state, asked, now);
  const firstTokenDueAt = now + asked.firstTokenDue;
  const dueAt = now + asked.due;
  state.sequence += 1;
  return {
    positions: [NOT_HELD, NOT_HELD, NOT_HELD],
    id: asked.request,
    asked,
    band: getBand(asked.tier, asked.homeDomain !== state.options.failureDomain),
    cost: asked.promptTokens + output,
    sequence: state.sequence,
    enqueuedAt: now,
    arrivedAt: now - asked.age,
    firstTokenDueAt,
    dueAt,
    serveBy: Math.min(
      firstTokenDueAt - FIRST_TOKEN_MARGIN * best.firstTokenAfter,
      dueAt - ANSWER_MARGIN * best.finishAfter,
    ),
    latestStart: Math.min(firstTokenDueAt - best.firstTokenAfter, dueAt - best.finishAfter),
  };
}

/** Sends the grant of a request that is asked for again, under its new stamp. */
function repeatGrant(state: SchedulerState, asked: GrantRequested): void {
  const slot = state.ledger.tryGet(asked.request);
  const isSameHost =
    slot !== undefined && getIncarnationKey(slot.from) === getIncarnationKey(asked.from);
  if (isSameHost && slot.grant !== undefined && slot.firstTokenAt === undefined) {
    slot.grant = { ...slot.grant, echo: asked.stamp };
    state.effects.push(slot.grant);
  }
}

function tryGetImmediateRefusal(
  state: SchedulerState,
  request: QueuedRequest,
  now: Milliseconds,
): RefusalReason | undefined {
  if (state.domainDrained) {
    return 'domainDrained';
  }
  if (!hasProspect(state)) {
    return 'noBackendServer';
  }
  const { promptTokens, maximumOutputTokens } = request.asked;
  if (promptTokens + maximumOutputTokens > getPoolSpeed(state, now).largestMemoryTokens) {
    return 'tooLargeForAnyBackendServer';
  }
  const isPassed = request.firstTokenDueAt <= now || request.dueAt <= now;
  return isPassed ? 'deadlinePassed' : undefined;
}

/** Evicts the newest of the lowest tier when the queue has outgrown its capacity. */
function evictOverflow(state: SchedulerState, arrived: QueuedRequest, now: Milliseconds): void {
  if (state.queue.size + state.deferred.size <= state.policy.queueCapacity) {
    return;
  }
  const evicted = tryTakeLowest(state);
  if (evicted !== undefined) {
    const isLower = evicted.asked.tier > arrived.asked.tier;
    spillOrRefuse(state, evicted, isLower ? 'evictedByHigherTier' : 'queueFull', now);
  }
}

/** Passes a request on that would wait here, when a neighbour has room. */
function trySpillEarly(state: SchedulerState, request: QueuedRequest, now: Milliseconds): boolean {
  const wait = expectedWait(state, request, now);
  if (wait <= state.policy.spillWait || !trySpill(state, request, now)) {
    return false;
  }
  state.queue.remove(request);
  return true;
}

/** Refuses a request that the work ahead of it would make late, unless a lower tier is still queued. */
function refuseIfHopeless(state: SchedulerState, request: QueuedRequest, now: Milliseconds): void {
  const slack = Math.min(request.firstTokenDueAt, request.dueAt) - now;
  if (expectedWait(state, request, now) <= slack * SLACK_SHARE_TO_WAIT) {
    return;
  }
  if (getLowestTier(state) === request.asked.tier) {
    state.queue.remove(request);
    refuse(state, request, 'deadlineCannotBeMet', now);
  }
}

function enqueue(state: SchedulerState, asked: GrantRequested, now: Milliseconds): void {
  const request = toQueued(state, asked, now);
  state.shares.offered(request.cost);
  state.demand.arrived(asked.tier, request.cost, now);
  const reason = tryGetImmediateRefusal(state, request, now);
  if (reason !== undefined) {
    spillOrRefuse(state, request, reason, now);
    return;
  }
  if (request.latestStart < now) {
    giveUp(state, request, now);
    return;
  }
  state.queue.add(request);
  grantQueued(state, now);
  const isWaiting = state.queue.tryGet(request.id) !== undefined;
  if (isWaiting && !trySpillEarly(state, request, now) && state.handover.isOver(now)) {
    refuseIfHopeless(state, request, now);
  }
  evictOverflow(state, request, now);
}

/** Takes a request for a grant; one that is known already changes nothing but its stamp. */
export default function requestGrant(
  state: SchedulerState,
  asked: GrantRequested,
  now: Milliseconds,
): void {
  if (state.dead.has(getIncarnationKey(asked.from)) || state.finished.has(asked.request)) {
    return;
  }
  const queued = state.queue.tryGet(asked.request) ?? state.deferred.tryGet(asked.request);
  if (queued !== undefined) {
    queued.asked = { ...queued.asked, from: asked.from, stamp: asked.stamp };
    return;
  }
  if (state.ledger.tryGet(asked.request) !== undefined) {
    repeatGrant(state, asked);
    return;
  }
  enqueue(state, asked, now);
}
