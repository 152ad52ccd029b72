import type { Milliseconds } from '@rattanreel/core';

/** Part of an error that is learnt once many times have been seen. */
const LEAST_LEARNING_RATE = 0.02;

interface Level {
  value: number;
  count: number;
}

/** Takes out of a time what its length, route and tier explain. */
interface TimeNormaliser {
  /** Logarithm of the time over what the old version takes; undefined while nothing is known of such requests. */
  tryNormalise(cell: string, length: number, value: Milliseconds): number | undefined;
  /** Learns from a request of the old version. */
  learn(cell: string, length: number, value: Milliseconds): void;
}

function getRange(length: number): number {
  return Math.floor(Math.log2(Math.max(1, length)));
}

function move(level: Level, error: number): void {
  level.count += 1;
  level.value += error * Math.max(LEAST_LEARNING_RATE, 1 / level.count);
}

/**
 * Learns a level for each doubling of length and an offset for each route and tier. The same figures are applied
 * to both versions, so that a comparison within a route and tier stays fair whatever has been learnt.
 */
export default function createTimeNormaliser(): TimeNormaliser {
  const ranges = new Map<number, Level>();
  const cells = new Map<string, Level>();

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
      const range = ranges.get(getRange(length));
      return range === undefined
        ? undefined
        : Math.log(Math.max(value, Number.MIN_VALUE)) - range.value - (cells.get(cell)?.value ?? 0);
    },
    learn(cell, length, value) {
      const offset = getLevel(cells, cell);
      const range = getLevel(ranges, getRange(length));
      const logarithm = Math.log(Math.max(value, Number.MIN_VALUE));
      move(range, logarithm - range.value - offset.value);
      move(offset, logarithm - range.value - offset.value);
    },
  };
}
