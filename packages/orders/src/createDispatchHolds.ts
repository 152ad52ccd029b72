import type { Clock, Milliseconds } from '@rattanreel/core';
import { sleep } from '@rattanreel/platform';
import DENIAL_HOLD from './denialHold';

interface DispatchHolds {
  /** Delays an order for `DENIAL_HOLD` from now. */
  hold(name: string): void;
  /** Resolves when the order is no longer delayed. */
  wait(name: string): Promise<void>;
}

/**
 * Delays orders that this incarnation has reported to a survey as not run, until the surveying host must have answered
 * its caller.
 */
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
