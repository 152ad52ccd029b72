import { Debug } from '@rattanreel/core';
import type { PoolId } from '@rattanreel/core';
import { createMoveGuard } from '@rattanreel/moves';
import type { MoveGuardEffect, MoveGuardMessage } from '@rattanreel/moves';
import type { SchedulerTask } from '../scheduling/types';
import type { MoveGuardRunner, MovesContext, MovesTaskOptions } from './types';

/** Runs the guard of a pool's moves beside the scheduler, and applies shares and vetoes there. */
export default function createMoveGuardRunner(
  context: MovesContext,
  options: MovesTaskOptions,
  pool: PoolId,
  scheduler: SchedulerTask,
): MoveGuardRunner {
  const guard = createMoveGuard({
    pool,
    failureDomain: context.failureDomain,
    failureDomains: options.getFailureDomains(pool),
  });

  function carryOut(effect: MoveGuardEffect): void {
    switch (effect.kind) {
      case 'vetoVersion':
        scheduler.handle({ kind: 'versionVetoed', version: effect.version });
        break;
      case 'sharesChanged':
        options.onSharesChanged();
        break;
      case 'announceVeto':
        context.announce(pool, { kind: 'vetoHeard', veto: effect.veto });
        break;
      case 'announceReport':
        context.announce(pool, { kind: 'reportHeard', report: effect.report });
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

  function handle(message: MoveGuardMessage): void {
    guard.handle(message, context.clock.wallTime().getTime()).forEach(carryOut);
  }

  return { handle, shares: guard.shares };
}
