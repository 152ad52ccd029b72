import { getHeapStatistics } from 'node:v8';
import type { Clock, Milliseconds } from '@rattanreel/core';
import createGarbageControl from './createGarbageControl';
import type { CallerMemory, GarbageCollector, MemoryReservation, MemoryShare } from './types';

/** Bodies up to this size may use all of the memory. */
const SMALL_BODY_BYTES = 65_536;
/** Share of the memory that larger bodies may use, so that small ones are read beside them. */
const LARGE_BODIES_SHARE = 3 / 4;
/** Shares of the memory, and of the heap, for what connections hold beside bodies. */
const OVERHEAD_SHARE = 1 / 2;
const OVERHEAD_HEAP_SHARE = 1 / 6;
/** Share of the heap that callers may use before garbage is measured, whatever the memory. */
const MEASURED_HEAP_SHARE = 1 / 4;
/** A message of which parts arrive is not evicted for others in its first time. */
const PROTECTED_TIME: Milliseconds = 2_000;
/** Time without a part after which it is. */
const STALLED_TIME: Milliseconds = 500;
/** A connection that holds less is not evicted. */
const SMALLEST_EVICTED_BYTES = 16_384;

interface CallerMemoryOptions {
  readonly clock: Pick<Clock, 'now'>;
  /** Bytes of all bodies in hand together; Infinity for no limit. */
  readonly bytes: number;
  /** Garbage is left to V8 if absent. */
  readonly collector?: GarbageCollector;
}

interface Holder {
  bytes: number;
  /** When the incomplete message began, and when its last part arrived. */
  arrivingSince: Milliseconds;
  arrivedAt: Milliseconds;
  readonly evict: () => void;
}

/**
 * Creates the memory of a host for requests that have not ended. If it is used up, the message that
 * has been arriving for the longest time is evicted, and then what needs more is refused.
 */
export default function createCallerMemory(options: CallerMemoryOptions): CallerMemory {
  const { clock, bytes: limit } = options;
  const heapBytes = getHeapStatistics().heap_size_limit;
  const overheadLimit = Math.min(limit * OVERHEAD_SHARE, heapBytes * OVERHEAD_HEAP_SHARE);
  const holders = new Set<Holder>();
  /** Those with an incomplete message, in the order of their last parts. */
  const arriving = new Set<Holder>();
  const garbage =
    options.collector &&
    createGarbageControl({
      clock,
      collector: options.collector,
      limit: Math.min(limit, heapBytes * MEASURED_HEAP_SHARE),
    });
  let reservedBytes = 0;
  let overhead = 0;

  function getUsable(bytes: number): number {
    const share = bytes > SMALL_BODY_BYTES ? LARGE_BODIES_SHARE : 1;
    return Math.min(limit * share, limit - overhead);
  }

  /** Evicts messages that stall or have been arriving for long, until there is enough memory. */
  function evictArriving(isEnough: () => boolean): void {
    const now = clock.now();
    for (const holder of arriving) {
      if (isEnough()) {
        return;
      }
      const { arrivingSince, arrivedAt } = holder;
      if (now - arrivedAt >= STALLED_TIME || now - arrivingSince >= PROTECTED_TIME) {
        arriving.delete(holder);
        holder.evict();
      }
    }
  }

  function evictLargest(): void {
    while (overhead > overheadLimit) {
      let largest: Holder | undefined;
      holders.forEach((holder) => {
        if (holder.bytes > (largest?.bytes ?? SMALLEST_EVICTED_BYTES)) {
          largest = holder;
        }
      });
      if (largest === undefined) {
        return;
      }
      overhead -= largest.bytes;
      largest.bytes = 0;
      largest.evict();
    }
  }

  function reserve(): MemoryReservation {
    let reserved = 0;
    return {
      tryGrow(bytes) {
        const added = Math.max(bytes - reserved, 0);
        const hasRoom = (): boolean =>
          overhead <= overheadLimit && (added === 0 || reservedBytes + added <= getUsable(bytes));
        if (!hasRoom()) {
          evictArriving(hasRoom);
          if (!hasRoom()) {
            return false;
          }
        }
        reservedBytes += added;
        reserved += added;
        garbage?.recordGrowth(added, reservedBytes);
        return true;
      },
      release() {
        reservedBytes -= reserved;
        reserved = 0;
      },
    };
  }

  function open(evict: () => void): MemoryShare {
    const holder: Holder = { bytes: 0, arrivingSince: 0, arrivedAt: 0, evict };
    holders.add(holder);
    return {
      set(bytes) {
        const growth = bytes - holder.bytes;
        overhead += holders.has(holder) ? bytes - holder.bytes : 0;
        holder.bytes = bytes;
        if (growth > 0) {
          garbage?.recordGrowth(growth, reservedBytes);
        }
        if (growth > 0 && overhead > overheadLimit) {
          evictArriving(() => overhead <= overheadLimit);
          evictLargest();
        }
      },
      recordArrival(isIncomplete) {
        const wasArriving = arriving.delete(holder);
        if (isIncomplete && holders.has(holder)) {
          holder.arrivedAt = clock.now();
          holder.arrivingSince = wasArriving ? holder.arrivingSince : holder.arrivedAt;
          arriving.add(holder);
        }
      },
      end() {
        overhead -= holders.delete(holder) ? holder.bytes : 0;
        arriving.delete(holder);
      },
    };
  }

  return {
    getUsed: () => reservedBytes,
    getOverhead: () => overhead,
    recordReceived: (bytes) => garbage?.recordGrowth(bytes, reservedBytes),
    reserve,
    open,
  };
}
