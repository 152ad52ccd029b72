import type { RequestId, TierRank } from '@rattanreel/core';
import createIndexedHeap from './createIndexedHeap';
import type { DeferredRefusals, QueuedRequest } from './types';

const EXPIRY_SLOT = 2;

function hardDeadline(request: QueuedRequest): number {
  return Math.min(request.firstTokenDueAt, request.dueAt);
}

/** Creates an empty set of requests whose refusal waits for the lower tiers to be gone. */
export default function createDeferredRefusals(): DeferredRefusals {
  const requests = new Map<RequestId, QueuedRequest>();
  const tiers: Map<RequestId, QueuedRequest>[] = [];
  const byDeadline = createIndexedHeap<QueuedRequest>(
    EXPIRY_SLOT,
    (left, right) => hardDeadline(left) - hardDeadline(right) || left.sequence - right.sequence,
  );

  function tierOf(tier: TierRank): Map<RequestId, QueuedRequest> {
    while (tiers.length <= tier) {
      tiers.push(new Map());
    }
    return tiers[tier]!;
  }

  return {
    get size() {
      return requests.size;
    },
    get lowestTier() {
      return tiers.findLastIndex((tier) => tier.size > 0);
    },
    add(request) {
      requests.set(request.id, request);
      tierOf(request.asked.tier).set(request.id, request);
      byDeadline.push(request);
    },
    remove(request) {
      requests.delete(request.id);
      tierOf(request.asked.tier).delete(request.id);
      byDeadline.remove(request);
    },
    tryGet: (id) => requests.get(id),
    tryGetLowest: () =>
      tiers
        .findLast((tier) => tier.size > 0)
        ?.values()
        .next().value,
    tryGetNextDue: () => byDeadline.peek(),
    countOfTier: (tier) => tiers[tier]?.size ?? 0,
    forEach: (visit) => requests.forEach(visit),
  };
}
