import type { Milliseconds } from '@rattanreel/core';
import createSlotSharingPolicy from '../decisions/createSlotSharingPolicy';
import createRetryBudget from '../decisions/createRetryBudget';
import canMeetDeadline from '../decisions/canMeetDeadline';
import shouldDeferToPeers from '../decisions/shouldDeferToPeers';
import createRequestQueue from '../decisions/createRequestQueue';
import type { Priority, RelayBounds, ServerState, QueuedRequest } from '../types';
import arrangeByShare from '../fairness/arrangeByShare';
import createShareTerms from '../fairness/createShareTerms';
import createSlotShares from '../fairness/createSlotShares';
import estimateFairWait from '../fairness/estimateFairWait';
import getShareKey from '../fairness/getShareKey';
import isContended from '../fairness/isContended';
import type { ShareTerms } from '../fairness/types';
import recordAttempt from './recordAttempt';
import createPoolAverages from './createPoolAverages';
import type { PoolAverages, PoolState, SlotTrackerOptions, PoolQueue } from './types';
import createSlotRelease from './createSlotRelease';
import createSlotTracker from './createSlotTracker';

/** Time between two checks of the queue; covers changes that no message announces. */
const QUEUE_CHECK_INTERVAL: Milliseconds = 20;
/** Share of slots in use from which on peers are told which customers use them. */
const SCARCE_UTILIZATION = 0.6;

interface PoolQueueOptions extends Omit<SlotTrackerOptions, 'canMeetDeadline' | 'getMeanDuration'> {
  readonly bounds: RelayBounds;
  /** Returns the terms on which customers share slots; all are equal if absent. */
  readonly getShareTerms?: () => ShareTerms;
}

interface Grant {
  readonly request: QueuedRequest;
  readonly server: ServerState;
}

function isInTime(
  averages: PoolAverages,
  { slowness }: ServerState,
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
  const { clock, bounds, serverStates, getShareTerms = () => createShareTerms() } = options;
  const averages = createPoolAverages();
  const shares = createSlotShares({
    now: clock.now,
    getWeight: (key) => getShareTerms().getWeight(key),
    getTierRank: (key) => getShareTerms().getTierRank(key),
  });
  const queue = createRequestQueue({
    getExpectedTimeToFirstData: averages.timeToFirstData.get,
    arrange: (requests) => arrangeByShare(requests, shares),
  });
  const retryBudget = createRetryBudget({ bounds });
  const policy = createSlotSharingPolicy();
  const tracker = createSlotTracker({
    ...options,
    getMeanDuration: averages.duration.get,
    canMeetDeadline: (server, request) => isInTime(averages, server, request, clock.now()),
  });
  const releaseSlot = createSlotRelease({ clock, tracker, onReleased: () => grantSlots() });
  let peerQueuedByRank: ReadonlyMap<number, number> = new Map();
  let sharingHosts = 1;
  let isCheckScheduled = false;

  /**
   * Returns the next request that may take a slot, and its server; tiers below their floor go
   * first.
   */
  function tryFindGrant(): Grant | undefined {
    if (!tracker.hasFreeSlot()) {
      return undefined;
    }
    const counts = tracker.countSlots();
    let server: ServerState | undefined;
    const canServe = (request: QueuedRequest): boolean => {
      server = tracker.selectServer(request);
      return server !== undefined;
    };
    const belowFloor = queue.tryFindByFloorRank(
      (request) => policy.evaluate(request.priority, counts) === 'belowFloor' && canServe(request),
    );
    if (belowFloor !== undefined && server !== undefined) {
      return { request: belowFloor, server };
    }
    const next = queue.tryFind(
      (request) => policy.evaluate(request.priority, counts) !== 'kept' && canServe(request),
    );
    if (next === undefined || server === undefined) {
      return undefined;
    }
    const freeSlots = counts.total - counts.inUse;
    const mustDefer =
      shouldDeferToPeers({ rank: next.priority.rank, freeSlots, peerQueuedByRank }) ||
      shouldDeferToShares(next, freeSlots);
    return mustDefer ? undefined : { request: next, server };
  }

  /** Returns whether the free slots are left to customers that use less and wait elsewhere. */
  function shouldDeferToShares(request: QueuedRequest, freeSlots: number): boolean {
    const ahead = shares.countPeersAhead(request);
    return ahead > 0 && freeSlots <= ahead;
  }

  function grantNextSlot(): boolean {
    const grant = queue.size === 0 ? undefined : tryFindGrant();
    if (grant === undefined) {
      return false;
    }
    const { request, server } = grant;
    queue.remove(request);
    tracker.acquireSlot(server, request.priority.tier);
    policy.recordGrant(request.priority.tier);
    shares.recordGrant(getShareKey(request));
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

  /** Returns the expected wait of a new request of a customer. */
  function getFairWait(request: Pick<QueuedRequest, 'customer' | 'priority'>): Milliseconds {
    const queued = queue.list();
    const slots = countRefilledSlots();
    if (slots === 0 || !isContended([...queued, request])) {
      return getExpectedWait(request.priority.rank);
    }
    const { getDuration } = policy;
    return estimateFairWait({
      request,
      queued,
      shares,
      getWeight: getShareTerms().getWeight,
      getDuration,
      slots,
      hosts: sharingHosts,
    });
  }

  /** Returns the expected wait of a new request of this rank. */
  function getExpectedWait(rank: number): Milliseconds {
    const slots = countRefilledSlots();
    return slots === 0 ? Infinity : queue.sumWorkAhead(rank, policy.getDuration) / slots;
  }

  function getState({ rank, tier }: Pick<Priority, 'rank' | 'tier'>): PoolState {
    const { total: places, inUse: taken, getTierInUse } = tracker.countSlots();
    const expectedWait = Math.round(getExpectedWait(rank));
    return { waiting: queue.size, places, taken, takenByTier: getTierInUse(tier), expectedWait };
  }

  return {
    get size() {
      return queue.size;
    },
    getState,
    getRequestState(request) {
      const state = getState(request.priority);
      const queued = queue.list();
      if (!isContended([...queued, request])) {
        return state;
      }
      const { share, use } = shares.getState(getShareKey(request), queued.map(getShareKey));
      const customer = { share: Number(share.toFixed(2)), use: Number(use.toFixed(2)) };
      return { ...state, expectedWait: Math.round(getFairWait(request)), customer };
    },
    tryGetCustomerUse() {
      const { total, inUse } = tracker.countSlots();
      return inUse < total * SCARCE_UTILIZATION ? undefined : shares.summarize(queue.list());
    },
    getOwnInFlightByTier: tracker.getOwnInFlightByTier,
    getQueuedByRank: queue.countByRank,
    enqueue(request) {
      const now = clock.now();
      const { serveBy } = request.priority;
      const longestWait = serveBy - now - averages.timeToFirstData.get();
      // A tier below its floor goes before all others, so their requests do not delay it.
      const isUndelayed =
        queue.size === 0 ||
        policy.evaluate(request.priority, tracker.countSlots()) === 'belowFloor';
      const expectedDelay = isUndelayed ? 0 : getFairWait(request);
      if (expectedDelay > longestWait) {
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
    releaseUnusedSlot(server, tier, customer) {
      shares.recordRelease(getShareKey({ customer, priority: { tier } }));
      tracker.releaseSlot(server, tier);
      grantSlots();
    },
    completeAttempt(server, tier, figures, customer) {
      shares.recordRelease(getShareKey({ customer, priority: { tier } }));
      releaseSlot(server, tier, figures);
      if (figures.end.kind === 'whole') {
        policy.recordDuration(tier, figures.duration);
      }
      recordAttempt({ server, figures, averages, now: clock.now() });
      // A server that has just started is slow whatever its version.
      if (server.coldUntil <= clock.now() - figures.duration) {
        options.rollouts.recordAttempt(server.listed, tier, figures);
      }
      grantSlots();
    },
    recordLoadReport(server, running, waiting) {
      server.reportedPeerInFlight = Math.max(running + waiting - server.ownInFlight, 0);
      server.reportedAt = clock.now();
    },
    trySpendRetry: () => retryBudget.trySpendRetry(clock.now()),
    recordRequest: () => retryBudget.recordRequest(clock.now()),
    recordLeaving(server) {
      server.isLeaving = true;
    },
    tryAdoptSlot(id, tier, customer) {
      const server = serverStates.byId.get(id);
      if (server !== undefined) {
        shares.recordGrant(getShareKey({ customer, priority: { tier } }));
        tracker.acquireSlot(server, tier);
      }
      return server;
    },
    setPeerLoad(inFlight, byTier, waiting, byCustomer) {
      if (byCustomer !== undefined) {
        shares.setPeerUse(byCustomer);
      }
      peerQueuedByRank = waiting;
      tracker.setPeerLoad(inFlight, byTier);
      grantSlots();
    },
    setSharing({ grantingHosts, fleetHosts }) {
      sharingHosts = Math.max(grantingHosts.length, 1);
      retryBudget.setHosts(fleetHosts);
    },
    grantSlots,
  };
}
