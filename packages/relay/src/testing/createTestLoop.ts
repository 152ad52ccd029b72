import type { Clock } from '@rattanreel/core';
import type { TestLoop } from './types';

/** Creates an event loop in virtual time: as in Node.js, late timers run before late arrivals. */
export default function createTestLoop(clock: Clock): TestLoop {
  const waiting: Record<'timer' | 'arrival', (() => void)[]> = { timer: [], arrival: [] };
  let blockedUntil = -Infinity;

  function runWaiting(): void {
    if (clock.now() < blockedUntil) {
      return;
    }
    const callbacks = [...waiting.timer.splice(0), ...waiting.arrival.splice(0)];
    callbacks.forEach((callback) => callback());
  }

  return {
    block(span) {
      blockedUntil = Math.max(blockedUntil, clock.now() + span);
      clock.after(span, runWaiting);
    },
    run(kind, callback) {
      if (clock.now() < blockedUntil) {
        waiting[kind].push(callback);
      } else {
        callback();
      }
    },
  };
}
