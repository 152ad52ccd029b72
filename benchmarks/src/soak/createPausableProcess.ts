import type { Clock, Milliseconds } from '@rattanreel/core';

/** A simulated process that can be paused, which defers its actions, or killed. */
interface PausableProcess {
  readonly isDead: boolean;
  /** Runs `action` now or after the current pause; drops it if the process is dead. */
  run(action: () => void): void;
  pause(span: Milliseconds): void;
  kill(): void;
}

/** Creates a running process. */
export default function createPausableProcess(clock: Clock): PausableProcess {
  let pausedUntil = 0;
  let deferredActions: (() => void)[] = [];
  let isDead = false;

  function run(action: () => void): void {
    if (isDead) {
      return;
    }
    if (clock.now() < pausedUntil) {
      deferredActions.push(action);
    } else {
      action();
    }
  }

  return {
    get isDead() {
      return isDead;
    },
    run,
    pause(span) {
      pausedUntil = Math.max(pausedUntil, clock.now() + span);
      clock.after(span, () => {
        const actions = deferredActions;
        deferredActions = [];
        actions.forEach(run);
      });
    },
    kill() {
      isDead = true;
    },
  };
}
