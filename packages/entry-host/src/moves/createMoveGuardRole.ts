import { Debug } from '@rattanreel/core';
import type { PoolId } from '@rattanreel/core';
import { createMoveGuard } from '@rattanreel/moves';
import type { MoveGuardEffect, MoveGuardMessage } from '@rattanreel/moves';
import type { SchedulerTask } from '../scheduling/types';
import type { MoveGuardRole, MoveParts, MovesTaskOptions } from './types';

/** Follows a pool's moves beside the pool's scheduler, and puts shares and vetoes in force there. */
export default function createMoveGuardRole(
  parts: MoveParts,
  options: MovesTaskOptions,
  pool: PoolId,
  scheduler: SchedulerTask,
): MoveGuardRole {
  const guard = createMoveGuard({
    pool,
    failureDomain: parts.failureDomain,
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
        parts.announce(pool, { kind: 'vetoHeard', veto: effect.veto });
        break;
      case 'announceReport':
        parts.announce(pool, { kind: 'reportHeard', report: effect.report });
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

  function handle(message: MoveGuardMessage): void {
    guard.handle(message, parts.clock.wallTime().getTime()).forEach(carryOut);
  }

  return { handle, shares: guard.shares };
}
