import type { Clock, Milliseconds, Random, TierRank } from '@rattanreel/core';
import type { QueuedRequest } from '../types';
import arrangeByShare from './arrangeByShare';
import createRetryPlan from './createRetryPlan';
import createSlotShares from './createSlotShares';
import estimateFairWait from './estimateFairWait';
import getShareKey from './getShareKey';
import isContended from './isContended';
import type { FairSharing, RetryOptions, ShareTerms, Sharer } from './types';

const SHARE_DIGITS = 2;
/** Part of the slots in use from which on peers are told which customers use them. */
const SCARCE_UTILIZATION = 0.6;

interface FairSharingOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly getTerms: () => ShareTerms;
  readonly listQueued: () => readonly QueuedRequest[];
  /** Mean time for which a request of a tier holds its slot. */
  readonly getDuration: (tier: TierRank) => Milliseconds;
  /** Slots that this host refills. */
  readonly countRefilledSlots: () => number;
}

/**
 * Shares one pool's scarce slots among customers. Without customers in the configuration, or with
 * one that competes, nothing changes.
 */
export default function createFairSharing(options: FairSharingOptions): FairSharing {
  const { clock, getTerms, listQueued, getDuration, countRefilledSlots } = options;
  const retryPlan = createRetryPlan(options.random);
  const shares = createSlotShares({
    now: clock.now,
    getWeight: (key) => getTerms().getWeight(key),
    getTierRank: (key) => getTerms().getTierRank(key),
  });
  let hosts = 1;

  function isShared(request: Sharer): boolean {
    return isContended([...listQueued(), request]);
  }

  function getRetryOptions({ priority }: Pick<QueuedRequest, 'priority'>): RetryOptions {
    const now = clock.now();
    return {
      rank: priority.floorRank,
      timeLeft: priority.deadlineAt - now,
      queuedWork: listQueued().reduce((sum, other) => sum + getDuration(other.priority.tier), 0),
      work: getDuration(priority.tier),
      slots: countRefilledSlots(),
      now,
    };
  }

  return {
    arrange: (requests) => arrangeByShare(requests, shares),
    recordArrival({ priority }) {
      if (!priority.isReturning) {
        retryPlan.recordArrival(getDuration(priority.tier), clock.now());
      }
    },
    recordGrant: (request) => shares.recordGrant(getShareKey(request)),
    recordRelease: (customer, tier) =>
      shares.recordRelease(getShareKey({ customer, priority: { tier } })),
    setPeerUse: shares.setPeerUse,
    setHosts(next) {
      hosts = next;
    },
    tryGetExpectedWait(request) {
      const slots = countRefilledSlots();
      const queued = listQueued();
      return slots === 0 || !isShared(request)
        ? undefined
        : estimateFairWait({
            request,
            queued,
            shares,
            getWeight: getTerms().getWeight,
            getDuration,
            slots,
            hosts,
          });
    },
    tryGetState(request) {
      if (!isShared(request)) {
        return undefined;
      }
      const { share, use } = shares.getState(getShareKey(request), listQueued().map(getShareKey));
      return { share: Number(share.toFixed(SHARE_DIGITS)), use: Number(use.toFixed(SHARE_DIGITS)) };
    },
    shouldDefer(request, freeSlots) {
      const ahead = shares.countPeersAhead(request);
      return ahead > 0 && freeSlots <= ahead;
    },
    trySummarize: ({ total, inUse }) =>
      getTerms().hasCustomers && inUse >= total * SCARCE_UTILIZATION
        ? shares.summarize(listQueued())
        : undefined,
    getFigures() {
      const keys = listQueued().map(getShareKey);
      return { waitingCustomers: new Set(keys).size, largestUse: shares.getLargestUse() };
    },
    tryGetRetryDelay: (request) =>
      getTerms().hasCustomers ? retryPlan.getDelay(getRetryOptions(request)) : undefined,
    tryPreviewRetryDelay: (request, random) =>
      getTerms().hasCustomers
        ? retryPlan.previewDelay(getRetryOptions(request), random)
        : undefined,
  };
}
