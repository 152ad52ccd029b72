import type { CustomerId } from '@rattanreel/core';
import createIndexedHeap from './createIndexedHeap';
import type { HeapElement, IndexedHeap, QueuedRequest } from './types';

const CUSTOMER_HEAP = 0;
const NEWEST_HEAP = 1;
const ACTIVE_HEAP = 0;
const MAXIMUM_IDLE_QUEUES = 1024;
const MINIMUM_WEIGHT = 1e-6;

interface CustomerQueue extends HeapElement {
  readonly customer: CustomerId;
  /** Virtual time at which the customer's next request may start. */
  startTag: number;
  readonly requests: IndexedHeap<QueuedRequest>;
}

/**
 * One band of the strict priority order: start-time fair queueing across customers, earliest
 * deadline first within each.
 */
interface PriorityBand {
  readonly size: number;
  /** Estimated tokens queued. */
  readonly cost: number;
  add(request: QueuedRequest): void;
  remove(request: QueuedRequest): void;
  dequeue(request: QueuedRequest): void;
  peek(): QueuedRequest | undefined;
  tryGetNewest(): QueuedRequest | undefined;
}

function byOrderingDeadline(left: QueuedRequest, right: QueuedRequest): number {
  return left.orderingDeadline - right.orderingDeadline || left.sequence - right.sequence;
}

function byNewest(left: QueuedRequest, right: QueuedRequest): number {
  return right.arrivedAt - left.arrivedAt || right.sequence - left.sequence;
}

function byStartTag(left: CustomerQueue, right: CustomerQueue): number {
  return left.startTag - right.startTag || (left.customer < right.customer ? -1 : 1);
}

/** Creates an empty priority band. */
export default function createPriorityBand(): PriorityBand {
  const customerQueues = new Map<CustomerId, CustomerQueue>();
  const activeQueues = createIndexedHeap<CustomerQueue>(ACTIVE_HEAP, byStartTag);
  const newestFirst = createIndexedHeap<QueuedRequest>(NEWEST_HEAP, byNewest);
  let virtualTime = 0;
  let cost = 0;

  function evictIdleQueues(): void {
    if (customerQueues.size <= MAXIMUM_IDLE_QUEUES + activeQueues.size) {
      return;
    }
    for (const [customer, customerQueue] of customerQueues) {
      if (customerQueue.requests.size === 0 && customerQueue.startTag <= virtualTime) {
        customerQueues.delete(customer);
      }
    }
  }

  function getOrCreateCustomerQueue(customer: CustomerId): CustomerQueue {
    let customerQueue = customerQueues.get(customer);
    if (customerQueue === undefined) {
      evictIdleQueues();
      customerQueue = {
        heapPositions: [-1],
        customer,
        startTag: virtualTime,
        requests: createIndexedHeap<QueuedRequest>(CUSTOMER_HEAP, byOrderingDeadline),
      };
      customerQueues.set(customer, customerQueue);
    }
    return customerQueue;
  }

  function remove(request: QueuedRequest): CustomerQueue {
    const customerQueue = getOrCreateCustomerQueue(request.grantRequest.customer);
    customerQueue.requests.remove(request);
    newestFirst.remove(request);
    cost -= request.cost;
    if (customerQueue.requests.size === 0) {
      activeQueues.remove(customerQueue);
    }
    return customerQueue;
  }

  return {
    get size() {
      return newestFirst.size;
    },
    get cost() {
      return cost;
    },
    add(request) {
      const customerQueue = getOrCreateCustomerQueue(request.grantRequest.customer);
      customerQueue.requests.push(request);
      newestFirst.push(request);
      cost += request.cost;
      if (customerQueue.requests.size === 1) {
        customerQueue.startTag = Math.max(customerQueue.startTag, virtualTime);
        activeQueues.push(customerQueue);
      }
    },
    remove(request) {
      remove(request);
    },
    dequeue(request) {
      const customerQueue = remove(request);
      virtualTime = Math.max(virtualTime, customerQueue.startTag);
      const weight = Math.max(request.grantRequest.customerWeight, MINIMUM_WEIGHT);
      customerQueue.startTag += request.cost / weight;
      activeQueues.update(customerQueue);
    },
    peek: () => activeQueues.peek()?.requests.peek(),
    tryGetNewest: () => newestFirst.peek(),
  };
}
