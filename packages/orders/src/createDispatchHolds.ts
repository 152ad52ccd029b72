import type { Clock, Milliseconds } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import DENIAL_HOLD from './denialHold';

interface DispatchHolds {
  /** Holds an order back from now on. */
  hold(name: string): void;
  /** Resolves when the order is not held back any more. */
  wait(name: string): Promise<void>;
}

/** Orders that this incarnation has denied to a survey, and doesn't begin until the asker has answered. */
export default function createDispatchHolds(clock: Clock): DispatchHolds {
  const heldUntil = new Map<string, Milliseconds>();
  return {
    hold(name) {
      const until = clock.now() + DENIAL_HOLD;
      heldUntil.set(name, until);
      clock.after(DENIAL_HOLD, () => {
        if (heldUntil.get(name) === until) {
          heldUntil.delete(name);
        }
      });
    },
    async wait(name) {
      for (let until = heldUntil.get(name); until !== undefined; until = heldUntil.get(name)) {
        await sleep(clock, until - clock.now());
      }
    },
  };
}
