import type createRequestQueue from '../decisions/createRequestQueue';
import type createSlotSharingPolicy from '../decisions/createSlotSharingPolicy';
import shouldDeferToPeers from '../decisions/shouldDeferToPeers';
import type { FairSharing } from '../fairness/types';
import type { QueuedRequest, ServerState } from '../types';
import createEligibilityCache from './createEligibilityCache';
import type createSlotTracker from './createSlotTracker';

interface FindGrantOptions {
  readonly queue: ReturnType<typeof createRequestQueue>;
  readonly policy: ReturnType<typeof createSlotSharingPolicy>;
  readonly tracker: ReturnType<typeof createSlotTracker>;
  readonly sharing: Pick<FairSharing, 'shouldDefer'>;
  /** Queued requests of the other hosts, by rank. */
  readonly peerQueuedByRank: ReadonlyMap<number, number>;
}

interface Grant {
  readonly request: QueuedRequest;
  readonly server: ServerState;
}

/**
 * Returns the next request that may take a slot, and its server; tiers below their floor go first.
 */
export default function tryFindGrant(options: FindGrantOptions): Grant | undefined {
  const { queue, policy, tracker, sharing, peerQueuedByRank } = options;
  if (queue.size === 0 || !tracker.hasFreeSlot()) {
    return undefined;
  }
  const counts = tracker.countSlots();
  const evaluate = createEligibilityCache((group) => policy.evaluate(group, counts));
  let isServable: ((request: QueuedRequest) => boolean) | undefined;
  let server: ServerState | undefined;
  const canServe = (request: QueuedRequest): boolean => {
    isServable ??= tracker.createServableCheck();
    const mayBeServable = request.excludedServers.size > 0 || isServable(request);
    server = mayBeServable ? tracker.selectServer(request) : undefined;
    return server !== undefined;
  };
  const isAnyBelowFloor = queue.listGroups().some((group) => evaluate(group) === 'belowFloor');
  const belowFloor = isAnyBelowFloor
    ? queue.tryFindByFloorRank(
        (request) => evaluate(request.priority) === 'belowFloor' && canServe(request),
      )
    : undefined;
  if (belowFloor !== undefined && server !== undefined) {
    return { request: belowFloor, server };
  }
  const next = queue.tryFind(
    (request) => evaluate(request.priority) !== 'kept' && canServe(request),
  );
  if (next === undefined || server === undefined) {
    return undefined;
  }
  const freeSlots = counts.total - counts.inUse;
  const mustDefer =
    shouldDeferToPeers({ rank: next.priority.rank, freeSlots, peerQueuedByRank }) ||
    sharing.shouldDefer(next, freeSlots);
  return mustDefer ? undefined : { request: next, server };
}
