import type { Admission } from './types';

/** Admits up to `capacity` requests at once until stopped. */
export default function createAdmission(capacity: number): Admission {
  let inFlight = 0;
  let stopping = false;
  const expiryListeners = new Set<() => void>();
  const drainWaiters: (() => void)[] = [];

  function resolveWhenDrained(): void {
    if (stopping && inFlight === 0) {
      drainWaiters.splice(0).forEach((resolveDrained) => resolveDrained());
    }
  }

  return {
    tryAdmit() {
      if (stopping || inFlight >= capacity) {
        return false;
      }
      inFlight += 1;
      return true;
    },
    retain() {
      inFlight += 1;
    },
    release() {
      inFlight -= 1;
      resolveWhenDrained();
    },
    stop() {
      stopping = true;
      resolveWhenDrained();
    },
    waitUntilDrained: () =>
      new Promise((resolve) => {
        drainWaiters.push(resolve);
        resolveWhenDrained();
      }),
    isStopping: () => stopping,
    inFlight: () => inFlight,
    watchExpiry(listener) {
      expiryListeners.add(listener);
      return () => expiryListeners.delete(listener);
    },
    expire: () => [...expiryListeners].forEach((listener) => listener()),
  };
}
