import type { Milliseconds } from '@rattanreel/core';
import type { Admission } from './types';

/** Admits up to `capacity` requests at once until stopped. */
export default function createAdmission(capacity: number): Admission {
  let inFlight = 0;
  let endsAt: Milliseconds | undefined;
  const stopListeners = new Set<() => void>();
  const expiryListeners = new Set<() => void>();
  const drainWaiters: (() => void)[] = [];
  const arrivedBeforeStop = new WeakSet<object>();

  function resolveWhenDrained(): void {
    if (endsAt !== undefined && inFlight === 0) {
      drainWaiters.splice(0).forEach((resolveDrained) => resolveDrained());
    }
  }

  return {
    recordArrival(request) {
      if (endsAt === undefined) {
        arrivedBeforeStop.add(request);
      }
    },
    tryAdmit(request) {
      const isLate = endsAt !== undefined && !arrivedBeforeStop.has(request);
      if (isLate || inFlight >= capacity) {
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
    stop(at) {
      endsAt = at;
      stopListeners.forEach((listener) => listener());
      resolveWhenDrained();
    },
    canSend: (dueAt) => endsAt === undefined || dueAt <= endsAt,
    watchStop(listener) {
      stopListeners.add(listener);
    },
    waitUntilDrained: () =>
      new Promise((resolve) => {
        drainWaiters.push(resolve);
        resolveWhenDrained();
      }),
    isStopping: () => endsAt !== undefined,
    inFlight: () => inFlight,
    watchExpiry(listener) {
      expiryListeners.add(listener);
      return () => expiryListeners.delete(listener);
    },
    expire: () => [...expiryListeners].forEach((listener) => listener()),
  };
}
