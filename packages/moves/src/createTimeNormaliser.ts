import type { Milliseconds } from '@rattanreel/core';

/** Fraction of an error by which a level is corrected once many times have been observed. */
const MINIMUM_LEARNING_RATE = 0.02;

interface Level {
  value: number;
  count: number;
}

/** Removes from a time the part that is explained by length, route and tier. */
interface TimeNormaliser {
  /**
   * Returns the logarithm of the time relative to the old version's times; undefined while no request of similar length
   * has been learnt.
   */
  tryNormalise(cell: string, length: number, value: Milliseconds): number | undefined;
  /** Updates the levels with a request of the old version. */
  learn(cell: string, length: number, value: Milliseconds): void;
}

function getLengthBucket(length: number): number {
  return Math.floor(Math.log2(Math.max(1, length)));
}

function updateLevel(level: Level, error: number): void {
  level.count += 1;
  level.value += error * Math.max(MINIMUM_LEARNING_RATE, 1 / level.count);
}

/**
 * Learns a level for each doubling of length and an offset for each route and tier. The same values are applied to both
 * versions, so that a comparison within a route and tier is unbiased whatever has been learnt.
 */
export default function createTimeNormaliser(): TimeNormaliser {
  const lengthLevels = new Map<number, Level>();
  const cellOffsets = new Map<string, Level>();

  function getLevel<Key>(levels: Map<Key, Level>, key: Key): Level {
    let level = levels.get(key);
    if (level === undefined) {
      level = { value: 0, count: 0 };
      levels.set(key, level);
    }
    return level;
  }

  return {
    tryNormalise(cell, length, value) {
      const lengthLevel = lengthLevels.get(getLengthBucket(length));
      return lengthLevel === undefined
        ? undefined
        : Math.log(Math.max(value, Number.MIN_VALUE)) -
            lengthLevel.value -
            (cellOffsets.get(cell)?.value ?? 0);
    },
    learn(cell, length, value) {
      const offset = getLevel(cellOffsets, cell);
      const lengthLevel = getLevel(lengthLevels, getLengthBucket(length));
      const logarithm = Math.log(Math.max(value, Number.MIN_VALUE));
      updateLevel(lengthLevel, logarithm - lengthLevel.value - offset.value);
      updateLevel(offset, logarithm - lengthLevel.value - offset.value);
    },
  };
}
