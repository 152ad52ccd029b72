import type { Clock, Milliseconds } from '@rattanreel/core';
import headerNames from './headerNames';

/** Work after which a change of the engine's speed takes effect. */
const WORK_STEP: Milliseconds = 10;

/** How fast an engine works, and what it says of that. */
interface TestSpeedState {
  /** Multiple of the usual time that work takes. */
  readonly slowdown: number;
  /** Figures of the load header; 0 if there is none. */
  readonly loadFigures: 0 | 3 | 4;
}

/** Creates the speed of an engine, which may change while the engine is at work. */
export default function createTestSpeed(clock: Clock) {
  let state: TestSpeedState = { slowdown: 1, loadFigures: 0 };

  /** Calls back when an amount of work is done, at the speed that the engine has meanwhile. */
  function work(amount: Milliseconds, onDone: () => void): void {
    const step = Math.min(amount, WORK_STEP);
    clock.after(step * state.slowdown, () =>
      amount > step ? work(amount - step, onDone) : onDone(),
    );
  }

  return {
    work,
    getSlowdown: () => state.slowdown,
    set(next: TestSpeedState): void {
      state = next;
    },
    getHeaders(running: number, waiting: number, slots: number): Readonly<Record<string, string>> {
      const { slowdown, loadFigures } = state;
      const figures = [running, waiting, slots, Math.round(slowdown * 100)].slice(0, loadFigures);
      return loadFigures === 0 ? {} : { [headerNames.load]: figures.join(',') };
    },
  };
}
