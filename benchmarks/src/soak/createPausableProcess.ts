import type { Clock, Milliseconds } from '@rattanreel/core';

/** A process that can be paused, which delays what it does, or killed. */
interface PausableProcess {
  readonly isDead: boolean;
  /** Runs `action` now, after the pause, or never once dead. */
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
