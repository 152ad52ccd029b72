import { setImmediate } from 'node:timers/promises';
import type { VirtualClock } from '@rattanreel/core';

/**
 * Advances virtual time from timer to timer until the work is done. Throws a `RangeError` if no
 * timer is left before that.
 */
export default async function runInVirtualTime<Value>(
  clock: VirtualClock,
  work: Promise<Value>,
): Promise<Value> {
  let isDone = false;
  function finish(): void {
    isDone = true;
  }
  work.then(finish, finish);
  // Runs every pending promise callback before time advances.
  await setImmediate();
  while (!isDone) {
    if (!clock.runNext()) {
      throw new RangeError('no timer is left, but the work is not done');
    }
    await setImmediate();
  }
  return work;
}
