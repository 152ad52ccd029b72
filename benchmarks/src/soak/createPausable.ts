import type { Clock, Milliseconds } from '@rattanreel/core';

/** A process that can be paused, which delays what it does, or killed. */
interface Pausable {
  readonly isDead: boolean;
  /** Runs `action` now, after the pause, or never once dead. */
  run(action: () => void): void;
  pause(span: Milliseconds): void;
  die(): void;
}

/** Creates a running process. */
export default function createPausable(clock: Clock): Pausable {
  let pausedUntil = 0;
  let held: (() => void)[] = [];
  let isDead = false;

  function run(action: () => void): void {
    if (isDead) {
      return;
    }
    if (clock.now() < pausedUntil) {
      held.push(action);
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
        const actions = held;
        held = [];
        actions.forEach(run);
      });
    },
    die() {
      isDead = true;
    },
  };
}
