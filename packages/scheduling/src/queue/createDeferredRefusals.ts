import type { RequestId, TierRank } from '@rattanreel/core';
import createIndexedHeap from './createIndexedHeap';
import type { DeferredRefusals, QueuedRequest } from './types';

const EXPIRY_HEAP = 2;

function getDeadline(request: QueuedRequest): number {
  return Math.min(request.firstTokenDueAt, request.dueAt);
}

/** Creates an empty set of requests whose refusal is deferred until no lower tier is waiting. */
export default function createDeferredRefusals(): DeferredRefusals {
  const requests = new Map<RequestId, QueuedRequest>();
  const requestsByTier: Map<RequestId, QueuedRequest>[] = [];
  const byDeadline = createIndexedHeap<QueuedRequest>(
    EXPIRY_HEAP,
    (left, right) => getDeadline(left) - getDeadline(right) || left.sequence - right.sequence,
  );

  function getRequestsOfTier(tier: TierRank): Map<RequestId, QueuedRequest> {
    while (requestsByTier.length <= tier) {
      requestsByTier.push(new Map());
    }
    return requestsByTier[tier]!;
  }

  return {
    get size() {
      return requests.size;
    },
    get lowestTier() {
      return requestsByTier.findLastIndex((tier) => tier.size > 0);
    },
    add(request) {
      requests.set(request.id, request);
      getRequestsOfTier(request.grantRequest.tier).set(request.id, request);
      byDeadline.push(request);
    },
    remove(request) {
      requests.delete(request.id);
      getRequestsOfTier(request.grantRequest.tier).delete(request.id);
      byDeadline.remove(request);
    },
    tryGet: (id) => requests.get(id),
    tryGetFromLowestTier: () =>
      requestsByTier
        .findLast((tier) => tier.size > 0)
        ?.values()
        .next().value,
    tryGetNextDue: () => byDeadline.peek(),
    countOfTier: (tier) => requestsByTier[tier]?.size ?? 0,
    forEach: (visit) => requests.forEach(visit),
  };
}
