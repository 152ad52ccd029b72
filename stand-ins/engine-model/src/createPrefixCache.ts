import type { PrefixCache } from './types';

/** Creates a prefix cache for `capacity` blocks. */
export default function createPrefixCache(capacity: number): PrefixCache {
  const blocks = new Set<string>();

  function touch(hash: string): void {
    blocks.delete(hash);
    blocks.add(hash);
  }

  function evictOldest(): string | undefined {
    const oldest = blocks.values().next().value;
    if (oldest !== undefined) {
      blocks.delete(oldest);
    }
    return oldest;
  }

  return {
    match(hashes) {
      let matched = 0;
      while (matched < hashes.length && blocks.has(hashes[matched]!)) {
        touch(hashes[matched]!);
        matched += 1;
      }
      return matched;
    },
    insert(hashes) {
      const added: string[] = [];
      const removed: string[] = [];
      hashes.forEach((hash) => {
        if (!blocks.has(hash)) {
          added.push(hash);
        }
        touch(hash);
      });
      while (blocks.size > capacity) {
        const oldest = evictOldest();
        if (oldest !== undefined) {
          removed.push(oldest);
        }
      }
      return { added, removed };
    },
    clear() {
      const removed = [...blocks];
      blocks.clear();
      return removed;
    },
  };
}
