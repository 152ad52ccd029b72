import type { Clock, Milliseconds } from '@rattanreel/core';

/** Resolves after `delay` by the given clock. */
export default function sleep(clock: Clock, delay: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delay, resolve);
  });
}
