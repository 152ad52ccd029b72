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

/** One process that runs a move controller; it can be killed, paused and resumed. */
interface ControllerHost {
  readonly domain: number;
  readonly generation: Generation;
  handle(message: MoveControllerMessage): void;
  isRunning(): boolean;
  kill(): void;
  pause(): void;
  resume(): void;
  expireLease(): void;
}

/** Starts a controller that holds the lease of `generation`. */
export default function createControllerHost(options: ControllerHostOptions): ControllerHost {
  const { pool, failureDomains } = options;
  const controller = createMoveController({ pool, failureDomains });
  let isAlive = true;
  let isPaused = false;
  /** Messages that arrived during a pause. */
  let deferredMessages: MoveControllerMessage[] = [];
  let isLeaseExpired = false;

  const host: ControllerHost = {
    domain: options.domain,
    generation: options.generation,
    handle(message) {
      if (!isAlive) {
        return;
      }
      if (isPaused) {
        deferredMessages.push(message);
        return;
      }
      controller.handle(message, options.now()).forEach((effect) => options.apply(effect, host));
    },
    isRunning: () => isAlive && !isPaused,
    kill() {
      isAlive = false;
    },
    pause() {
      isPaused = true;
    },
    resume() {
      isPaused = false;
      const messages = deferredMessages;
      deferredMessages = [];
      messages.forEach(host.handle);
      host.handle({ kind: 'timePassed' });
      if (isLeaseExpired) {
        host.handle({ kind: 'leaseChanged', lease: { kind: 'notHeld' } });
      }
    },
    expireLease() {
      isLeaseExpired = true;
      host.handle({ kind: 'leaseChanged', lease: { kind: 'notHeld' } });
    },
  };
  host.handle({
    kind: 'leaseChanged',
    lease: { kind: 'held', generation: options.generation },
  });
  return host;
}
