import type { CustomerId } from '@rattanreel/core';
import createIndexedHeap from './createIndexedHeap';
import type { HeapElement, IndexedHeap, QueuedRequest } from './types';

const LANE_SLOT = 0;
const NEWEST_SLOT = 1;
const ACTIVE_SLOT = 0;
const IDLE_LANES_KEPT = 1024;
const SMALLEST_WEIGHT = 1e-6;

interface Lane extends HeapElement {
  readonly customer: CustomerId;
  /** Virtual time at which the customer's next request may start. */
  startTag: number;
  readonly requests: IndexedHeap<QueuedRequest>;
}

/** One rank of the strict order: start-time fair queueing over customers, earliest deadline within each. */
interface Band {
  readonly size: number;
  /** Estimated tokens queued. */
  readonly cost: number;
  add(request: QueuedRequest): void;
  remove(request: QueuedRequest): void;
  serve(request: QueuedRequest): void;
  peek(): QueuedRequest | undefined;
  newest(): QueuedRequest | undefined;
}

function byServeBy(left: QueuedRequest, right: QueuedRequest): number {
  return left.serveBy - right.serveBy || left.sequence - right.sequence;
}

function byNewest(left: QueuedRequest, right: QueuedRequest): number {
  return right.arrivedAt - left.arrivedAt || right.sequence - left.sequence;
}

function byStartTag(left: Lane, right: Lane): number {
  return left.startTag - right.startTag || (left.customer < right.customer ? -1 : 1);
}

/** Creates an empty band. */
export default function createBand(): Band {
  const lanes = new Map<CustomerId, Lane>();
  const active = createIndexedHeap<Lane>(ACTIVE_SLOT, byStartTag);
  const arrivals = createIndexedHeap<QueuedRequest>(NEWEST_SLOT, byNewest);
  let virtualTime = 0;
  let cost = 0;

  function forgetIdleLanes(): void {
    if (lanes.size <= IDLE_LANES_KEPT + active.size) {
      return;
    }
    for (const [customer, lane] of lanes) {
      if (lane.requests.size === 0 && lane.startTag <= virtualTime) {
        lanes.delete(customer);
      }
    }
  }

  function laneOf(customer: CustomerId): Lane {
    let lane = lanes.get(customer);
    if (lane === undefined) {
      forgetIdleLanes();
      lane = {
        positions: [-1],
        customer,
        startTag: virtualTime,
        requests: createIndexedHeap<QueuedRequest>(LANE_SLOT, byServeBy),
      };
      lanes.set(customer, lane);
    }
    return lane;
  }

  function remove(request: QueuedRequest): Lane {
    const lane = laneOf(request.asked.customer);
    lane.requests.remove(request);
    arrivals.remove(request);
    cost -= request.cost;
    if (lane.requests.size === 0) {
      active.remove(lane);
    }
    return lane;
  }

  return {
    get size() {
      return arrivals.size;
    },
    get cost() {
      return cost;
    },
    add(request) {
      const lane = laneOf(request.asked.customer);
      lane.requests.push(request);
      arrivals.push(request);
      cost += request.cost;
      if (lane.requests.size === 1) {
        lane.startTag = Math.max(lane.startTag, virtualTime);
        active.push(lane);
      }
    },
    remove(request) {
      remove(request);
    },
    serve(request) {
      const lane = remove(request);
      virtualTime = Math.max(virtualTime, lane.startTag);
      const weight = Math.max(request.asked.customerWeight, SMALLEST_WEIGHT);
      lane.startTag += request.cost / weight;
      active.update(lane);
    },
    peek: () => active.peek()?.requests.peek(),
    newest: () => arrivals.peek(),
  };
}
