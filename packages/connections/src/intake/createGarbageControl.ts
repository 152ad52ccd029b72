import type { Clock, Milliseconds } from '@rattanreel/core';
import type { GarbageCollector } from './types';

/** Shortest time between two collections of all garbage; no less than the last one took. */
const COLLECTION_INTERVAL: Milliseconds = 10;
/** Bytes of new memory, as a share of the limit, after which garbage is measured. */
const MEASURED_SHARE = 1 / 8;
/** Garbage outside the heap, as a share of the limit, that is collected. */
const COLLECTED_SHARE = 1 / 4;
/** Used share of the heap at which it is collected, and by which it must grow before the next time. */
const HEAP_SHARE = 0.4;
const HEAP_SHARE_STEP = 0.1;

interface GarbageControlOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly collector: GarbageCollector;
  /** Bytes that callers may use. */
  readonly limit: number;
}

interface GarbageControl {
  /** Counts new memory of callers, of which `reserved` bytes are in use outside the heap. */
  recordGrowth(bytes: number, reserved: number): void;
}

/** Collects garbage that callers have caused before the process exceeds its memory. */
export default function createGarbageControl(options: GarbageControlOptions): GarbageControl {
  const { clock, collector, limit } = options;
  /** Bytes outside the heap that others use. */
  let othersBytes = collector.measure().externalBytes;
  let grown = 0;
  let mayCollectAllAt = -Infinity;
  let heapShareLimit = HEAP_SHARE;

  /** Whether there is garbage outside the heap, beside the `reserved` bytes. */
  function hasGarbage(reserved: number): boolean {
    const unreservedBytes = collector.measure().externalBytes - reserved;
    othersBytes = Math.min(othersBytes, unreservedBytes);
    return unreservedBytes - othersBytes > limit * COLLECTED_SHARE;
  }

  return {
    recordGrowth(bytes, reserved) {
      grown += bytes;
      if (grown < limit * MEASURED_SHARE) {
        return;
      }
      grown = 0;
      const startedAt = clock.now();
      if (hasGarbage(reserved)) {
        collector.collect('minor');
      }
      const mayCollectAll = startedAt >= mayCollectAllAt;
      if (
        mayCollectAll &&
        (hasGarbage(reserved) || collector.measure().heapShare > heapShareLimit)
      ) {
        collector.collect('major');
        const endedAt = clock.now();
        mayCollectAllAt = endedAt + Math.max(endedAt - startedAt, COLLECTION_INTERVAL);
        // What is still used is no garbage.
        const { externalBytes, heapShare } = collector.measure();
        othersBytes = externalBytes - reserved;
        heapShareLimit = Math.max(HEAP_SHARE, heapShare + HEAP_SHARE_STEP);
      }
    },
  };
}
