import type { Clock, Timer } from '@rattanreel/core';
import type { Route } from '../types';
import getFirstDataTimeout from './getFirstDataTimeout';

interface FirstDataWait {
  /** Begins an attempt; its wait is bounded if the request may be retried. */
  start(mayRetry: boolean): void;
  recordData(): void;
  /** Whether the attempt has received data. */
  hasData(): boolean;
  /** Ends the attempt. */
  end(): void;
}

/** Bounds the wait of each attempt for its first data; calls `onSilent` when it is over. */
export default function createFirstDataWait(
  clock: Clock,
  route: Route,
  onSilent: () => void,
): FirstDataWait {
  let timer: Timer | undefined;
  let isReceiving = false;

  return {
    start(mayRetry) {
      isReceiving = false;
      timer?.cancel();
      timer = mayRetry ? clock.after(getFirstDataTimeout(route), onSilent) : undefined;
    },
    recordData() {
      isReceiving = true;
      timer?.cancel();
    },
    hasData: () => isReceiving,
    end() {
      isReceiving = false;
      timer?.cancel();
    },
  };
}
