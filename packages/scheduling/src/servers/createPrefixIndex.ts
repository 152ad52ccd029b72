import type { PrefixIndex } from './types';

const BLOCK_TOKENS = 64;
const CONFIDENCE_SAMPLE_WEIGHT = 0.2;
const GAP_CONFIDENCE_FACTOR = 0.5;
const CACHE_LOSS_SHARE = 0.8;
const MINIMUM_CACHE_LOSS_BLOCKS = 16;

/**
 * Tracks cached prefixes by cache events, which may be late or missing. The least recently seen
 * prefixes are evicted first.
 */
export default function createPrefixIndex(capacityTokens: number): PrefixIndex {
  const capacityBlocks = Math.max(1, Math.floor(capacityTokens / BLOCK_TOKENS));
  const cachedHashes = new Set<string>();
  let lastSequence: number | undefined;
  let confidence = 1;

  function touch(hash: string): void {
    cachedHashes.delete(hash);
    cachedHashes.add(hash);
    if (cachedHashes.size > capacityBlocks) {
      cachedHashes.delete(cachedHashes.values().next().value!);
    }
  }

  function isGap(sequence: number): boolean {
    return lastSequence !== undefined && sequence !== lastSequence + 1;
  }

  return {
    estimateCachedTokens(hashes, promptTokens) {
      let blocks = 0;
      while (blocks < hashes.length && cachedHashes.has(hashes[blocks]!)) {
        blocks += 1;
      }
      return Math.floor(Math.min(promptTokens, blocks * BLOCK_TOKENS) * confidence);
    },
    applyChange(sequence, added, removed) {
      if (lastSequence !== undefined && sequence <= lastSequence) {
        return false;
      }
      if (isGap(sequence)) {
        confidence *= GAP_CONFIDENCE_FACTOR;
      }
      lastSequence = sequence;
      const before = cachedHashes.size;
      removed.forEach((hash) => cachedHashes.delete(hash));
      const lost = before - cachedHashes.size;
      added.forEach(touch);
      return lost >= MINIMUM_CACHE_LOSS_BLOCKS && lost >= before * CACHE_LOSS_SHARE;
    },
    addComputed(hashes) {
      hashes.forEach(touch);
    },
    adjustConfidence(expectedTokens, cachedTokens) {
      if (expectedTokens > 0) {
        const found = Math.min(
          1,
          (cachedTokens * Math.max(confidence, CONFIDENCE_SAMPLE_WEIGHT)) / expectedTokens,
        );
        confidence += CONFIDENCE_SAMPLE_WEIGHT * (found - confidence);
      }
    },
    clear() {
      cachedHashes.clear();
      lastSequence = undefined;
      confidence = 1;
    },
  };
}
