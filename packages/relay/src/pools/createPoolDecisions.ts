import type { Clock, Milliseconds } from '@rattanreel/core';
import type createRequestQueue from '../decisions/createRequestQueue';
import type createSlotSharingPolicy from '../decisions/createSlotSharingPolicy';
import type { FairSharing } from '../fairness/types';
import type { QueuedRequest, RefusalReason } from '../types';
import type createSlotTracker from './createSlotTracker';
import type { PoolAverages, PoolState, ServerStateMap } from './types';

interface PoolDecisionsOptions {
  readonly clock: Clock;
  readonly averages: PoolAverages;
  readonly serverStates: Pick<ServerStateMap, 'byId'>;
  readonly queue: ReturnType<typeof createRequestQueue>;
  readonly policy: ReturnType<typeof createSlotSharingPolicy>;
  readonly tracker: ReturnType<typeof createSlotTracker>;
  readonly sharing: Pick<FairSharing, 'tryGetExpectedWait' | 'tryGetState'>;
  /** Returns the number of hosts that grant the pool's slots. */
  readonly getSharingHosts: () => number;
}

interface PoolDecisions {
  /** Counts the slots that this host refills. */
  countRefilledSlots(): number;
  /** Returns why a new request is refused at once; undefined if it is queued. */
  tryGetRefusal(request: QueuedRequest): RefusalReason | undefined;
  getState(request: Pick<QueuedRequest, 'customer' | 'priority'>): PoolState;
}

/**
 * Decides whether a pool's queue takes a request, by its expected wait. Changes nothing, so that it
 * also serves requests that are only asked about. Load pattern: bursts whose last requests could not
 * be served in time.
 */
export default function createPoolDecisions(options: PoolDecisionsOptions): PoolDecisions {
  const { clock, averages, serverStates, queue, policy, tracker, sharing } = options;

  /** Under load, a host refills the slots that its own requests release. */
  function countRefilledSlots(): number {
    return Math.max(
      tracker.countSlots().sustained / options.getSharingHosts(),
      tracker.countOwnInFlight(),
    );
  }

  /** Returns the expected wait of a new request. */
  function getExpectedWait(request: Pick<QueuedRequest, 'customer' | 'priority'>): Milliseconds {
    const slots = countRefilledSlots();
    const work = queue.sumWorkAhead(request.priority.rank, policy.getDuration);
    return sharing.tryGetExpectedWait(request) ?? (slots === 0 ? Infinity : work / slots);
  }

  function tryGetRefusal(request: QueuedRequest): RefusalReason | undefined {
    const timeLeft = request.priority.serveBy - clock.now();
    const longestWait = timeLeft - averages.timeToFirstData.get();
    // A tier below its floor goes before all others, so their requests do not delay it.
    const isUndelayed =
      queue.size === 0 || policy.evaluate(request.priority, tracker.countSlots()) === 'belowFloor';
    if ((isUndelayed ? 0 : getExpectedWait(request)) > longestWait) {
      return 'expectedLate';
    }
    return serverStates.byId.size === 0 ? 'noServer' : undefined;
  }

  function getState(request: Pick<QueuedRequest, 'customer' | 'priority'>): PoolState {
    const { total: places, inUse: taken, getTierInUse } = tracker.countSlots();
    return {
      waiting: queue.size,
      places,
      taken,
      takenByTier: getTierInUse(request.priority.tier),
      expectedWait: Math.round(getExpectedWait(request)),
      customer: sharing.tryGetState(request),
    };
  }

  return { countRefilledSlots, tryGetRefusal, getState };
}
