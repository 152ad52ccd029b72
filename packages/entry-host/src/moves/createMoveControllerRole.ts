import { Debug } from '@rattanreel/core';
import type { PoolId } from '@rattanreel/core';
import { createMoveController } from '@rattanreel/moves';
import type { MoveControllerEffect, MoveControllerMessage } from '@rattanreel/moves';
import type { MoveControllerRole, MoveParts, MovesTaskOptions } from './types';

/** Drives a pool's moves while this entry host holds the moves lease. */
export default function createMoveControllerRole(
  parts: MoveParts,
  options: MovesTaskOptions,
  pool: PoolId,
): MoveControllerRole {
  const controller = createMoveController({
    pool,
    failureDomains: options.getFailureDomains(pool),
  });

  function carryOut(effect: MoveControllerEffect): void {
    switch (effect.kind) {
      case 'announceRecord':
        parts.announce(pool, { kind: 'recordSeen', stored: effect.stored });
        break;
      case 'writeRecord':
      case 'readRecord':
        parts.carryOutRecord(effect, (answer) => handle({ kind: 'recordAnswered', answer }));
        break;
      case 'logMoveDecision':
        parts.logDecision(effect);
        break;
      default:
        Debug.assertNever(effect);
    }
  }

  function handle(message: MoveControllerMessage): void {
    controller.handle(message, parts.clock.wallTime().getTime()).forEach(carryOut);
  }

  return { handle };
}
