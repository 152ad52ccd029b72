import type { Clock, Milliseconds } from '@rattanreel/core';
import type { PauseDetector } from './types';

/** A timer later than this, or a wall clock that advanced more, shows a pause. */
const PAUSE_THRESHOLD: Milliseconds = 200;

interface PauseDetectorOptions {
  readonly clock: Clock;
  /** Interval at which `tick` is called. */
  readonly interval: Milliseconds;
}

/**
 * Finds pauses of the process by timers that run late, and suspensions of the machine by a wall
 * clock that advances without the monotonic clock. Handles a holder that is paused at any point.
 */
export default function createPauseDetector(options: PauseDetectorOptions): PauseDetector {
  const { clock, interval } = options;
  let lastTickAt = clock.now();
  let lastWallTime = clock.wallTime().getTime();
  let lastPauseEnd = -Infinity;

  function check(): void {
    const elapsed = clock.now() - lastTickAt;
    const wallElapsed = clock.wallTime().getTime() - lastWallTime;
    const isLate = elapsed > interval + PAUSE_THRESHOLD;
    const isSuspended = Math.abs(wallElapsed - elapsed) > PAUSE_THRESHOLD;
    if (isLate || isSuspended) {
      lastPauseEnd = clock.now();
    }
  }

  return {
    getLastPauseEnd() {
      check();
      return lastPauseEnd;
    },
    tick() {
      check();
      lastTickAt = clock.now();
      lastWallTime = clock.wallTime().getTime();
    },
  };
}
