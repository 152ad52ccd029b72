import type { Milliseconds } from '@rattanreel/core';
import createSlotSharingPolicy from '../decisions/createSlotSharingPolicy';
import createRetryBudget from '../decisions/createRetryBudget';
import canMeetDeadline from '../decisions/canMeetDeadline';
import createRequestQueue from '../decisions/createRequestQueue';
import type { RelayBounds, QueuedRequest } from '../types';
import createFairSharing from '../fairness/createFairSharing';
import createShareTerms from '../fairness/createShareTerms';
import type { ShareTerms } from '../fairness/types';
import recordAttempt from './recordAttempt';
import type { PoolAverages, PoolQueue, SlotTrackerOptions } from './types';
import createPoolDecisions from './createPoolDecisions';
import previewRequest from './previewRequest';
import recordServerLoad from './recordServerLoad';
import createSlotRelease from './createSlotRelease';
import createSlotTracker from './createSlotTracker';
import tryFindGrant from './tryFindGrant';

/** Time between two checks of the queue; covers changes that no message announces. */
const QUEUE_CHECK_INTERVAL: Milliseconds = 20;

interface PoolQueueOptions extends Omit<SlotTrackerOptions, 'canMeetDeadline' | 'getMeanDuration'> {
  readonly bounds: RelayBounds;
  readonly averages: PoolAverages;
  /** Returns the terms on which customers share slots; all are equal if absent. */
  readonly getShareTerms?: () => ShareTerms;
}

function isInTime(
  averages: PoolAverages,
  slowness: number,
  { outputTokens, priority }: QueuedRequest,
  now: Milliseconds,
): boolean {
  return canMeetDeadline({
    outputTokens,
    timeToFirstData: averages.timeToFirstData.get(),
    timePerToken: averages.timePerToken.get(),
    slowness,
    timeLeft: priority.deadlineAt - now,
  });
}

/**
 * Queues and orders a pool's requests before dispatch, so that the servers' own queues stay short.
 */
export default function createPoolQueue(options: PoolQueueOptions): PoolQueue {
  const { clock, bounds, speeds, averages } = options;
  const queueOptions: Parameters<typeof createRequestQueue>[0] = {
    getExpectedTimeToFirstData: averages.timeToFirstData.get,
    arrange: (requests) => sharing.arrange(requests),
  };
  const queue = createRequestQueue(queueOptions);
  const retryBudget = createRetryBudget({ bounds });
  const policy = createSlotSharingPolicy();
  const tracker = createSlotTracker({
    ...options,
    getMeanDuration: averages.duration.get,
    canMeetDeadline: (slowness, request) => isInTime(averages, slowness, request, clock.now()),
  });
  const sharing = createFairSharing({
    ...options,
    getTerms: options.getShareTerms ?? createShareTerms,
    listQueued: queue.list,
    getDuration: policy.getDuration,
    countRefilledSlots: () => decisions.countRefilledSlots(),
  });
  const decisions = createPoolDecisions({
    ...options,
    queue,
    policy,
    tracker,
    sharing,
    getSharingHosts: () => sharingHosts,
  });
  const releaseSlot = createSlotRelease({ clock, tracker, onReleased: () => grantSlots() });
  let peerQueuedByRank: ReadonlyMap<number, number> = new Map();
  let sharingHosts = 1;
  let isCheckScheduled = false;

  function grantNextSlot(): boolean {
    const grant = tryFindGrant({ queue, policy, tracker, sharing, peerQueuedByRank });
    if (grant === undefined) {
      return false;
    }
    const { request, server } = grant;
    queue.remove(request);
    tracker.acquireSlot(server, request.priority.tier);
    policy.recordGrant(request.priority.tier);
    sharing.recordGrant(request);
    request.onGranted(server);
    return true;
  }

  function scheduleCheck(): void {
    if (isCheckScheduled || queue.size === 0) {
      return;
    }
    isCheckScheduled = true;
    clock.after(QUEUE_CHECK_INTERVAL, () => {
      isCheckScheduled = false;
      grantSlots();
    });
  }

  function grantSlots(): void {
    queue.removeExpired(clock.now()).forEach((request) => request.onRefused('expectedLate'));
    while (grantNextSlot()) {
      // Grants until no request can take a slot.
    }
    scheduleCheck();
  }

  return {
    get size() {
      return queue.size;
    },
    sharing,
    getState: decisions.getState,
    preview(request, random) {
      const copy = createRequestQueue(queueOptions);
      queue.list().forEach(copy.add);
      const refusal = decisions.tryGetRefusal(request);
      const snapshot = tracker.createSnapshot(random);
      const parts = { policy, sharing, peerQueuedByRank, queue: copy, tracker: snapshot };
      const state = decisions.getState(request);
      return previewRequest({ ...parts, request, refusal, state, now: clock.now() });
    },
    tryGetCustomerUse: () => sharing.trySummarize(tracker.countSlots()),
    getOwnInFlightByTier: tracker.getOwnInFlightByTier,
    getQueuedByRank: queue.countByRank,
    enqueue(request) {
      policy.recordArrival(request.priority.tier);
      sharing.recordArrival(request);
      const reason = decisions.tryGetRefusal(request);
      if (reason !== undefined) {
        return { kind: 'refused', reason };
      }
      queue.add(request);
      grantSlots();
      options.onInFlightChange(true);
      return { kind: 'waiting' };
    },
    cancel: (request) => queue.remove(request),
    releaseUnusedSlot(server, tier, customer) {
      sharing.recordRelease(customer, tier);
      tracker.releaseSlot(server, tier);
      grantSlots();
    },
    completeAttempt(server, tier, figures, customer) {
      sharing.recordRelease(customer, tier);
      releaseSlot(server, tier, figures);
      const now = clock.now();
      // Times at a server that was slow say nothing of its usual ones.
      const isUsualSpeed = !speeds.wasSlowSince(server.listed.id, now - figures.duration);
      if (figures.end.kind === 'whole' && isUsualSpeed) {
        policy.recordDuration(tier, figures.duration);
      }
      recordAttempt({ server, figures, averages, isUsualSpeed, now });
      // A server that has just started is slow whatever its version.
      if (server.coldUntil <= now - figures.duration) {
        options.rollouts.recordAttempt(server.listed, tier, figures);
      }
      grantSlots();
    },
    recordLoadReport(server, load) {
      if (recordServerLoad({ server, load, speeds, now: clock.now() })) {
        options.onInFlightChange(true);
      }
    },
    trySpendRetry: () => retryBudget.trySpendRetry(clock.now()),
    recordRequest: () => retryBudget.recordRequest(clock.now()),
    recordLeaving(server) {
      server.isLeaving = true;
    },
    tryAdoptSlot(id, tier, customer) {
      const server = options.serverStates.byId.get(id);
      if (server !== undefined) {
        sharing.recordGrant({ customer, priority: { tier } });
        tracker.acquireSlot(server, tier);
      }
      return server;
    },
    setPeerLoad(inFlight, byTier, waiting, byCustomer) {
      sharing.setPeerUse(byCustomer);
      peerQueuedByRank = waiting;
      tracker.setPeerLoad(inFlight, byTier);
      grantSlots();
    },
    setSharing({ grantingHosts, fleetHosts }) {
      sharingHosts = Math.max(grantingHosts.length, 1);
      sharing.setHosts(sharingHosts);
      retryBudget.setHosts(fleetHosts);
    },
    grantSlots,
  };
}
