import type createRequestQueue from '../decisions/createRequestQueue';
import type createSlotSharingPolicy from '../decisions/createSlotSharingPolicy';
import shouldDeferToPeers from '../decisions/shouldDeferToPeers';
import type { FairSharing } from '../fairness/types';
import type { QueuedRequest, ServerState } from '../types';
import type createSlotTracker from './createSlotTracker';

interface GrantOptions {
  readonly queue: Pick<
    ReturnType<typeof createRequestQueue>,
    'size' | 'tryFind' | 'tryFindByFloorRank'
  >;
  readonly policy: Pick<ReturnType<typeof createSlotSharingPolicy>, 'evaluate'>;
  readonly tracker: Pick<
    ReturnType<typeof createSlotTracker>,
    'hasFreeSlot' | 'countSlots' | 'selectServer'
  >;
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
export default function tryFindGrant(options: GrantOptions): Grant | undefined {
  const { queue, policy, tracker, sharing, peerQueuedByRank } = options;
  if (queue.size === 0 || !tracker.hasFreeSlot()) {
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
    sharing.shouldDefer(next, freeSlots);
  return mustDefer ? undefined : { request: next, server };
}
