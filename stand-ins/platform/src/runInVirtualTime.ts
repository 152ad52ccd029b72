import { setImmediate } from 'node:timers/promises';
import type { VirtualClock } from '@rattanreel/core';

/** Moves virtual time on from timer to timer until the work is done; throws when no timer is left. */
export default async function runInVirtualTime<Value>(
  clock: VirtualClock,
  work: Promise<Value>,
): Promise<Value> {
  let isDone = false;
  function finish(): void {
    isDone = true;
  }
  work.then(finish, finish);
  // Lets every promise that is ready run before time moves on.
  await setImmediate();
  while (!isDone) {
    if (!clock.runNext()) {
      throw new RangeError('the work waits for something that no timer brings');
    }
    await setImmediate();
  }
  return work;
}
