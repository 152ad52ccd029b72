import type { Generation } from '@rattanreel/core';
import { createMoveController } from '@rattanreel/moves';
import type { MoveControllerEffect, MoveControllerMessage } from '@rattanreel/moves';

interface ControllerHostOptions {
  readonly domain: number;
  readonly generation: Generation;
  readonly pool: string;
  readonly failureDomains: readonly string[];
  readonly now: () => number;
  readonly apply: (effect: MoveControllerEffect, host: ControllerHost) => void;
}

/** One process that runs a move controller; it can die, stand still and wake. */
interface ControllerHost {
  readonly domain: number;
  readonly generation: Generation;
  handle(message: MoveControllerMessage): void;
  isRunning(): boolean;
  die(): void;
  pause(): void;
  wake(): void;
  lapse(): void;
}

/** Starts a controller that holds the lease of `generation`. */
export default function createControllerHost(options: ControllerHostOptions): ControllerHost {
  const { pool, failureDomains } = options;
  const controller = createMoveController({ pool, failureDomains });
  let isAlive = true;
  let isPaused = false;
  /** What arrived while it stood still. */
  let waiting: MoveControllerMessage[] = [];
  let hasLapsed = false;

  const host: ControllerHost = {
    domain: options.domain,
    generation: options.generation,
    handle(message) {
      if (!isAlive) {
        return;
      }
      if (isPaused) {
        waiting.push(message);
        return;
      }
      controller.handle(message, options.now()).forEach((effect) => options.apply(effect, host));
    },
    isRunning: () => isAlive && !isPaused,
    die() {
      isAlive = false;
    },
    pause() {
      isPaused = true;
    },
    wake() {
      isPaused = false;
      const missed = waiting;
      waiting = [];
      missed.forEach(host.handle);
      host.handle({ kind: 'timePassed' });
      if (hasLapsed) {
        host.handle({ kind: 'leaseChanged', lease: { kind: 'notHeld' } });
      }
    },
    lapse() {
      hasLapsed = true;
      host.handle({ kind: 'leaseChanged', lease: { kind: 'notHeld' } });
    },
  };
  host.handle({
    kind: 'leaseChanged',
    lease: { kind: 'held', generation: options.generation },
  });
  return host;
}
