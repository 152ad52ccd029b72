import type { Admission } from './types';

/** Admits up to `capacity` requests at once until stopped. */
export default function createAdmission(capacity: number): Admission {
  let inHand = 0;
  let stopping = false;
  const waiting: (() => void)[] = [];

  function wakeWhenDrained(): void {
    if (stopping && inHand === 0) {
      waiting.splice(0).forEach((wake) => wake());
    }
  }

  return {
    tryEnter() {
      if (stopping || inHand >= capacity) {
        return false;
      }
      inHand += 1;
      return true;
    },
    enter() {
      inHand += 1;
    },
    leave() {
      inHand -= 1;
      wakeWhenDrained();
    },
    stop() {
      stopping = true;
      wakeWhenDrained();
    },
    drained: () =>
      new Promise((resolve) => {
        waiting.push(resolve);
        wakeWhenDrained();
      }),
    isStopping: () => stopping,
    inHand: () => inHand,
  };
}
