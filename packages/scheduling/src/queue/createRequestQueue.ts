import type { RequestId } from '@rattanreel/core';
import createBand from './createBand';
import createIndexedHeap from './createIndexedHeap';
import type { QueuedRequest, RequestQueue } from './types';

const EXPIRY_SLOT = 2;
const BANDS_PER_TIER = 2;

function byExpiry(left: QueuedRequest, right: QueuedRequest): number {
  return left.latestStart - right.latestStart || left.sequence - right.sequence;
}

/** Creates an empty queue; every operation costs O(log n) in the requests queued. */
export default function createRequestQueue(): RequestQueue {
  const requests = new Map<RequestId, QueuedRequest>();
  const bands: ReturnType<typeof createBand>[] = [];
  const expiry = createIndexedHeap<QueuedRequest>(EXPIRY_SLOT, byExpiry);

  function bandOf(rank: number): ReturnType<typeof createBand> {
    while (bands.length <= rank) {
      bands.push(createBand());
    }
    return bands[rank]!;
  }

  function forget(request: QueuedRequest): void {
    requests.delete(request.id);
    expiry.remove(request);
  }

  return {
    get size() {
      return requests.size;
    },
    add(request) {
      requests.set(request.id, request);
      bandOf(request.band).add(request);
      expiry.push(request);
    },
    tryGet: (id) => requests.get(id),
    remove(request) {
      bandOf(request.band).remove(request);
      forget(request);
    },
    peek: () => bands.find((band) => band.size > 0)?.peek(),
    serve(request) {
      bandOf(request.band).serve(request);
      forget(request);
    },
    tryGetNewestOf: (rank) => bands[rank]?.newest(),
    tryGetNewestOfLowest: () => bands.findLast((band) => band.size > 0)?.newest(),
    tryGetNextExpiring: () => expiry.peek(),
    costThrough(rank) {
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
