import type { PrefixIndex } from './types';

const BLOCK_TOKENS = 64;
const TRUST_WEIGHT = 0.2;
const TRUST_KEPT_AT_GAP = 0.5;
const LOST_SHARE = 0.8;
const FEWEST_BLOCKS_LOST = 16;

/** Tracks cached prefixes from late and gappy events; the least recently seen leave first. */
export default function createPrefixIndex(capacityTokens: number): PrefixIndex {
  const capacity = Math.max(1, Math.floor(capacityTokens / BLOCK_TOKENS));
  const held = new Set<string>();
  let lastSequence: number | undefined;
  let trust = 1;

  function hold(hash: string): void {
    held.delete(hash);
    held.add(hash);
    if (held.size > capacity) {
      held.delete(held.values().next().value!);
    }
  }

  function isGap(sequence: number): boolean {
    return lastSequence !== undefined && sequence !== lastSequence + 1;
  }

  return {
    expectedTokens(hashes, promptTokens) {
      let blocks = 0;
      while (blocks < hashes.length && held.has(hashes[blocks]!)) {
        blocks += 1;
      }
      return Math.floor(Math.min(promptTokens, blocks * BLOCK_TOKENS) * trust);
    },
    changed(sequence, added, removed) {
      if (lastSequence !== undefined && sequence <= lastSequence) {
        return false;
      }
      if (isGap(sequence)) {
        trust *= TRUST_KEPT_AT_GAP;
      }
      lastSequence = sequence;
      const before = held.size;
      removed.forEach((hash) => held.delete(hash));
      const lost = before - held.size;
      added.forEach(hold);
      return lost >= FEWEST_BLOCKS_LOST && lost >= before * LOST_SHARE;
    },
    computed(hashes) {
      hashes.forEach(hold);
    },
    verified(expectedTokens, cachedTokens) {
      if (expectedTokens > 0) {
        const found = Math.min(1, (cachedTokens * Math.max(trust, TRUST_WEIGHT)) / expectedTokens);
        trust += TRUST_WEIGHT * (found - trust);
      }
    },
    clear() {
      held.clear();
      lastSequence = undefined;
      trust = 1;
    },
  };
}
