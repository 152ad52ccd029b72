import type { Milliseconds } from '@rattanreel/core';
import createSlotSharingPolicy from '../decisions/createSlotSharingPolicy';
import createRetryBudget from '../decisions/createRetryBudget';
import createRequestQueue from '../decisions/createRequestQueue';
import type { RelayBounds, QueuedRequest } from '../types';
import createFairSharing from '../fairness/createFairSharing';
import createShareTerms from '../fairness/createShareTerms';
import type { ShareTerms } from '../fairness/types';
import recordCompletion from './recordCompletion';
import type { PoolAverages, SlotTrackerOptions, PoolQueue } from './types';
import recordServerLoad from './recordServerLoad';
import createEstimateOverrides from './createEstimateOverrides';
import createSlotRelease from './createSlotRelease';
import createSlotTracker from './createSlotTracker';
import isInTime from './isInTime';
import tryFindGrant from './tryFindGrant';

/** Time between two checks of the queue; covers changes that no message announces. */
const QUEUE_CHECK_INTERVAL: Milliseconds = 20;

interface PoolQueueOptions extends Omit<SlotTrackerOptions, 'canMeetDeadline' | 'getMeanDuration'> {
  readonly bounds: RelayBounds;
  readonly averages: PoolAverages;
  /** Returns the terms on which customers share slots; all are equal if absent. */
  readonly getShareTerms?: () => ShareTerms;
}

/**
 * Queues and orders a pool's requests before dispatch, so that the servers' own queues stay short.
 */
export default function createPoolQueue(options: PoolQueueOptions): PoolQueue {
  const { clock, bounds, serverStates, averages } = options;
  const queue = createRequestQueue({
    getExpectedTimeToFirstData: averages.timeToFirstData.get,
    arrange: (requests) => sharing.arrange(requests),
  });
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
    countRefilledSlots,
  });
  const releaseSlot = createSlotRelease({ clock, tracker, onReleased: () => grantSlots() });
  let peerQueuedByRank: ReadonlyMap<number, number> = new Map();
  let sharingHosts = 1;
  let isCheckScheduled = false;
  const countHosts = (): number => sharingHosts;
  const overrides = createEstimateOverrides({ ...options, queue, tracker, countHosts });

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

  /** Under load, a host refills the slots that its own requests release. */
  function countRefilledSlots(): number {
    return Math.max(tracker.countSlots().sustained / sharingHosts, tracker.countOwnInFlight());
  }

  /** Returns the expected wait of a new request. */
  function getExpectedWait(request: Pick<QueuedRequest, 'customer' | 'priority'>): Milliseconds {
    const slots = countRefilledSlots();
    const work = queue.sumWorkAhead(request.priority.rank, policy.getDuration);
    return sharing.tryGetExpectedWait(request) ?? (slots === 0 ? Infinity : work / slots);
  }

  return {
    get size() {
      return queue.size;
    },
    sharing,
    getState(request) {
      const { total: places, inUse: taken, getTierInUse } = tracker.countSlots();
      return {
        waiting: queue.size,
        places,
        taken,
        takenByTier: getTierInUse(request.priority.tier),
        expectedWait: Math.round(getExpectedWait(request)),
        firstData: averages.timeToFirstData.getFigures(clock.now()),
        customer: sharing.tryGetState(request),
      };
    },
    tryGetCustomerUse: () => sharing.trySummarize(tracker.countSlots()),
    getOwnInFlightByTier: tracker.getOwnInFlightByTier,
    getQueuedByRank: queue.countByRank,
    enqueue(request) {
      sharing.recordArrival(request);
      const timeLeft = request.priority.serveBy - clock.now();
      const longestWait = timeLeft - averages.timeToFirstData.get();
      // A tier below its floor goes before all others, so their requests do not delay it.
      const isUndelayed =
        queue.size === 0 ||
        policy.evaluate(request.priority, tracker.countSlots()) === 'belowFloor';
      if ((isUndelayed ? 0 : getExpectedWait(request)) > longestWait) {
        return { kind: 'refused', reason: 'expectedLate' };
      }
      if (serverStates.byId.size === 0) {
        return { kind: 'refused', reason: 'noServer' };
      }
      queue.add(request);
      grantSlots();
      options.onInFlightChange(true);
      return { kind: 'waiting' };
    },
    cancel: (request) => queue.remove(request),
    decideOnLate: overrides.decide,
    endTrial: overrides.endTrial,
    releaseUnusedSlot(server, tier, customer) {
      sharing.recordRelease(customer, tier);
      tracker.releaseSlot(server, tier);
      grantSlots();
    },
    completeAttempt(server, tier, figures, customer) {
      sharing.recordRelease(customer, tier);
      releaseSlot(server, tier, figures);
      recordCompletion({ ...options, policy, server, tier, figures });
      grantSlots();
    },
    recordLoadReport(server, load) {
      if (recordServerLoad({ server, load, speeds: options.speeds, now: clock.now() })) {
        options.onInFlightChange(true);
      }
    },
    trySpendRetry: () => retryBudget.trySpendRetry(clock.now()),
    recordRequest: () => retryBudget.recordRequest(clock.now()),
    recordLeaving(server) {
      server.isLeaving = true;
    },
    tryAdoptSlot(id, tier, customer) {
      const server = serverStates.byId.get(id);
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
