import type { Milliseconds } from '@rattanreel/core';
import estimateBestCase from '../decisions/estimateBestCase';
import estimateQueuedWait from '../decisions/estimateQueuedWait';
import getPriorityBand from '../decisions/getPriorityBand';
import getPoolThroughput from '../decisions/getPoolThroughput';
import getLowestTier from '../decisions/getLowestTier';
import spillOrDeferRefusal from '../decisions/spillOrDeferRefusal';
import grantQueued from '../decisions/grantQueued';
import hasEligibleServer from '../decisions/hasEligibleServer';
import refuse from '../decisions/refuse';
import spillOrRefuse from '../decisions/spillOrRefuse';
import trySpill from '../decisions/trySpill';
import tryDequeueLowestTier from '../decisions/tryDequeueLowestTier';
import type { SchedulerState } from '../decisions/types';
import getIncarnationKey from '../getIncarnationKey';
import type { QueuedRequest } from '../queue/types';
import type { GrantRequested, RefusalReason } from '../types';

const NOT_IN_HEAP = -1;
/** Factors on the best-case times of the first token and of the answer in `orderingDeadline`. */
const FIRST_TOKEN_MARGIN_FACTOR = 3;
const COMPLETION_MARGIN_FACTOR = 1.5;
/** Share of the remaining time that the expected wait may take, whatever the request's length. */
const MAXIMUM_WAIT_SHARE_OF_SLACK = 0.7;

function toQueued(
  state: SchedulerState,
  grantRequest: GrantRequested,
  now: Milliseconds,
): QueuedRequest {
  const outputTokens = state.workEstimates.estimateOutputTokens(
    grantRequest.route,
    grantRequest.maximumOutputTokens,
  );
  const best = estimateBestCase(state, grantRequest, now);
  const firstTokenDueAt = now + grantRequest.firstTokenDue;
  const dueAt = now + grantRequest.due;
  state.sequence += 1;
  return {
    heapPositions: [NOT_IN_HEAP, NOT_IN_HEAP, NOT_IN_HEAP],
    id: grantRequest.request,
    grantRequest,
    band: getPriorityBand(
      grantRequest.tier,
      grantRequest.homeDomain !== state.options.failureDomain,
    ),
    cost: grantRequest.promptTokens + outputTokens,
    sequence: state.sequence,
    enqueuedAt: now,
    arrivedAt: now - grantRequest.age,
    firstTokenDueAt,
    dueAt,
    orderingDeadline: Math.min(
      firstTokenDueAt - FIRST_TOKEN_MARGIN_FACTOR * best.firstTokenAfter,
      dueAt - COMPLETION_MARGIN_FACTOR * best.finishAfter,
    ),
    latestStart: Math.min(firstTokenDueAt - best.firstTokenAfter, dueAt - best.finishAfter),
  };
}

/** Resends the grant of a request that the entry host has sent again, with the new stamp. */
function resendGrant(state: SchedulerState, grantRequest: GrantRequested): void {
  const slot = state.slotTable.tryGet(grantRequest.request);
  const isSameHost =
    slot !== undefined && getIncarnationKey(slot.from) === getIncarnationKey(grantRequest.from);
  if (isSameHost && slot.grant !== undefined && slot.firstTokenAt === undefined) {
    slot.grant = { ...slot.grant, echo: grantRequest.stamp };
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
  if (!hasEligibleServer(state)) {
    return 'noBackendServer';
  }
  const { promptTokens, maximumOutputTokens } = request.grantRequest;
  if (promptTokens + maximumOutputTokens > getPoolThroughput(state, now).largestMemoryTokens) {
    return 'tooLargeForAnyBackendServer';
  }
  const isPassed = request.firstTokenDueAt <= now || request.dueAt <= now;
  return isPassed ? 'deadlinePassed' : undefined;
}

/**
 * Evicts the next request to refuse when more requests are waiting than the queue capacity allows.
 */
function evictOverflow(state: SchedulerState, arrived: QueuedRequest, now: Milliseconds): void {
  if (state.queue.size + state.deferredRefusals.size <= state.policy.queueCapacity) {
    return;
  }
  const evicted = tryDequeueLowestTier(state);
  if (evicted !== undefined) {
    const isLower = evicted.grantRequest.tier > arrived.grantRequest.tier;
    spillOrRefuse(state, evicted, isLower ? 'evictedByHigherTier' : 'queueFull', now);
  }
}

/**
 * Spills over a queued request with a long expected wait when another failure domain can take it.
 */
function trySpillEarly(state: SchedulerState, request: QueuedRequest, now: Milliseconds): boolean {
  const wait = estimateQueuedWait(state, request, now);
  if (wait <= state.policy.spillWaitThreshold || !trySpill(state, request, now)) {
    return false;
  }
  state.queue.remove(request);
  return true;
}

/** Refuses a request that the work ahead of it would make late, unless a lower tier is waiting. */
function refuseIfDeadlineUnreachable(
  state: SchedulerState,
  request: QueuedRequest,
  now: Milliseconds,
): void {
  const slack = Math.min(request.firstTokenDueAt, request.dueAt) - now;
  if (estimateQueuedWait(state, request, now) <= slack * MAXIMUM_WAIT_SHARE_OF_SLACK) {
    return;
  }
  if (getLowestTier(state) === request.grantRequest.tier) {
    state.queue.remove(request);
    refuse(state, request, 'deadlineCannotBeMet', now);
  }
}

function enqueue(state: SchedulerState, grantRequest: GrantRequested, now: Milliseconds): void {
  const request = toQueued(state, grantRequest, now);
  state.versionShares.recordOffered(request.cost);
  state.demandTracker.recordArrival(grantRequest.tier, request.cost, now);
  const reason = tryGetImmediateRefusal(state, request, now);
  if (reason !== undefined) {
    spillOrRefuse(state, request, reason, now);
    return;
  }
  if (request.latestStart < now) {
    spillOrDeferRefusal(state, request, now);
    return;
  }
  state.queue.add(request);
  grantQueued(state, now);
  const isWaiting = state.queue.tryGet(request.id) !== undefined;
  if (isWaiting && !trySpillEarly(state, request, now) && state.handover.isOver(now)) {
    refuseIfDeadlineUnreachable(state, request, now);
  }
  evictOverflow(state, request, now);
}

/**
 * Handles a request for a grant. For a request that is queued or granted already, only its stamp
 * (and its sender while queued) is updated, and a grant not yet in use is resent.
 */
export default function handleGrantRequested(
  state: SchedulerState,
  grantRequest: GrantRequested,
  now: Milliseconds,
): void {
  if (
    state.deadIncarnations.has(getIncarnationKey(grantRequest.from)) ||
    state.finishedRequests.has(grantRequest.request)
  ) {
    return;
  }
  const queued =
    state.queue.tryGet(grantRequest.request) ?? state.deferredRefusals.tryGet(grantRequest.request);
  if (queued !== undefined) {
    queued.grantRequest = {
      ...queued.grantRequest,
      from: grantRequest.from,
      stamp: grantRequest.stamp,
    };
    return;
  }
  if (state.slotTable.tryGet(grantRequest.request) !== undefined) {
    resendGrant(state, grantRequest);
    return;
  }
  enqueue(state, grantRequest, now);
}
