import { Debug } from '@rattanreel/core';
import type { PoolId } from '@rattanreel/core';
import { createMoveController } from '@rattanreel/moves';
import type { MoveControllerEffect, MoveControllerMessage } from '@rattanreel/moves';
import type { MoveControllerRunner, MovesContext, MovesTaskOptions } from './types';

/** Runs the controller of a pool's moves while this entry host holds the moves lease. */
export default function createMoveControllerRunner(
  context: MovesContext,
  options: MovesTaskOptions,
  pool: PoolId,
): MoveControllerRunner {
  const controller = createMoveController({
    pool,
    failureDomains: options.getFailureDomains(pool),
  });

  function carryOut(effect: MoveControllerEffect): void {
    switch (effect.kind) {
      case 'announceRecord':
        context.announce(pool, { kind: 'recordSeen', stored: effect.stored });
        break;
      case 'writeRecord':
      case 'readRecord':
        context.carryOutRecord(effect, (answer) => handle({ kind: 'recordAnswered', answer }));
        break;
      case 'logMoveDecision':
        context.logDecision(effect);
        break;
      default:
        Debug.assertNever(effect);
    }
  }

  function handle(message: MoveControllerMessage): void {
    controller.handle(message, context.clock.wallTime().getTime()).forEach(carryOut);
  }

  return { handle };
}
