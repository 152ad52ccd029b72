import type { RequestId } from '@rattanreel/core';
import createPriorityBand from './createPriorityBand';
import createIndexedHeap from './createIndexedHeap';
import type { QueuedRequest, RequestQueue } from './types';

const EXPIRY_HEAP = 2;
const BANDS_PER_TIER = 2;

function byExpiry(left: QueuedRequest, right: QueuedRequest): number {
  return left.latestStart - right.latestStart || left.sequence - right.sequence;
}

/** Creates an empty queue; every operation costs O(log n) in the requests queued. */
export default function createRequestQueue(): RequestQueue {
  const requests = new Map<RequestId, QueuedRequest>();
  const bands: ReturnType<typeof createPriorityBand>[] = [];
  const expiry = createIndexedHeap<QueuedRequest>(EXPIRY_HEAP, byExpiry);

  function getOrCreateBand(rank: number): ReturnType<typeof createPriorityBand> {
    while (bands.length <= rank) {
      bands.push(createPriorityBand());
    }
    return bands[rank]!;
  }

  function removeFromIndexes(request: QueuedRequest): void {
    requests.delete(request.id);
    expiry.remove(request);
  }

  return {
    get size() {
      return requests.size;
    },
    add(request) {
      requests.set(request.id, request);
      getOrCreateBand(request.band).add(request);
      expiry.push(request);
    },
    tryGet: (id) => requests.get(id),
    remove(request) {
      getOrCreateBand(request.band).remove(request);
      removeFromIndexes(request);
    },
    peek: () => bands.find((band) => band.size > 0)?.peek(),
    dequeue(request) {
      getOrCreateBand(request.band).dequeue(request);
      removeFromIndexes(request);
    },
    tryGetNewestInBand: (rank) => bands[rank]?.tryGetNewest(),
    tryGetNewestInLowestBand: () => bands.findLast((band) => band.size > 0)?.tryGetNewest(),
    tryGetNextExpiring: () => expiry.peek(),
    getCostThrough(rank) {
      let cost = 0;
      for (let index = 0; index <= rank && index < bands.length; index += 1) {
        cost += bands[index]!.cost;
      }
      return cost;
    },
    countOfTier(tier) {
      const first = tier * BANDS_PER_TIER;
      return (bands[first]?.size ?? 0) + (bands[first + 1]?.size ?? 0);
    },
    forEach: (visit) => requests.forEach(visit),
  };
}
