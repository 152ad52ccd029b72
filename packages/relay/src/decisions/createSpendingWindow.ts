import type { Milliseconds } from '@rattanreel/core';
import type { SpendingWindow } from './types';

const SLOTS = 8;
const SLOT_TIME: Milliseconds = 1_000;

/** Sums what was spent within the last 8 s, to the second. */
export default function createSpendingWindow(): SpendingWindow {
  const sums = new Array<number>(SLOTS).fill(0);
  let latest = -Infinity;

  function getIndex(slot: number): number {
    return ((slot % SLOTS) + SLOTS) % SLOTS;
  }

  function advance(now: Milliseconds): number {
    const slot = Math.floor(now / SLOT_TIME);
    const passed = Math.min(slot - latest, SLOTS);
    for (let index = 0; index < passed; index += 1) {
      sums[getIndex(slot - index)] = 0;
    }
    latest = Math.max(latest, slot);
    return getIndex(slot);
  }

  return {
    add(cost, now) {
      const index = advance(now);
      sums[index] = sums[index]! + cost;
    },
    get(now) {
      // Reading changes nothing, since decisions are also made without being applied.
      const passed = Math.max(Math.floor(now / SLOT_TIME) - latest, 0);
      let total = 0;
      for (let age = passed; age < SLOTS; age += 1) {
        total += sums[getIndex(latest + passed - age)]!;
      }
      return total;
    },
  };
}
