import type { StopDeadline, StopPeriod } from './types';

/** A response may take this multiple of the mean of its kind: servers differ in speed. */
const DURATION_MARGIN = 2;

/**
 * Decides which requests a stopping host still accepts: those on keep-alive connections that end
 * before the host does.
 */
export default function createStopDeadline(): StopDeadline {
  const listeners = new Set<() => void>();
  let period: StopPeriod | undefined;

  return {
    begin(next) {
      period = next;
    },
    tryGetPeriod: () => period,
    canFinish: (expectedDuration, now) =>
      period === undefined || now + expectedDuration * DURATION_MARGIN <= period.endsAt,
    watch(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    expire: () => [...listeners].forEach((listener) => listener()),
  };
}
