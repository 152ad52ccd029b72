import type { StopDeadline, StopEvent, StopPeriod } from './types';

/** Decides what a stopping host still begins: only what certainly ends before it does. */
export default function createStopDeadline(): StopDeadline {
  const listeners = new Set<(event: StopEvent) => void>();
  let period: StopPeriod | undefined;

  function notify(event: StopEvent): void {
    [...listeners].forEach((listener) => listener(event));
  }

  return {
    begin(next) {
      period = next;
      notify('begun');
    },
    tryGetPeriod: () => period,
    isBeforeEnd: (at) => period === undefined || at <= period.endsAt,
    watch(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    expire: () => notify('expired'),
  };
}
