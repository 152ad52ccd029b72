import { getHeapStatistics, setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { GarbageCollector, GarbageKind } from './types';

/** Creates the means to measure and collect garbage, which V8 does late for bytes outside its heap. */
export default function createGarbageCollector(): GarbageCollector {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as (options?: { readonly type: GarbageKind }) => void;
  return {
    measure() {
      const statistics = getHeapStatistics();
      return {
        externalBytes: statistics.external_memory,
        heapShare: statistics.used_heap_size / statistics.heap_size_limit,
      };
    },
    collect: (type) => collect({ type }),
  };
}
