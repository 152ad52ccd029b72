import type { Milliseconds } from '@rattanreel/core';
import type { SpendingWindow } from './types';

const SLOTS = 8;
const SLOT_TIME: Milliseconds = 1_000;

/** Sums what was spent within the last 8 s, to the second. */
export default function createSpendingWindow(): SpendingWindow {
  const sums = new Array<number>(SLOTS).fill(0);
  let latest = -Infinity;

  function advance(now: Milliseconds): number {
    const slot = Math.floor(now / SLOT_TIME);
    const passed = Math.min(slot - latest, SLOTS);
    for (let index = 0; index < passed; index += 1) {
      sums[(((slot - index) % SLOTS) + SLOTS) % SLOTS] = 0;
    }
    latest = Math.max(latest, slot);
    return ((slot % SLOTS) + SLOTS) % SLOTS;
  }

  return {
    add(cost, now) {
      const index = advance(now);
      sums[index] = sums[index]! + cost;
    },
    get(now) {
      advance(now);
      return sums.reduce((total, sum) => total + sum, 0);
    },
  };
}
