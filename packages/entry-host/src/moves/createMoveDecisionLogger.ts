import type { FailureDomainId } from '@rattanreel/core';
import type { DecisionLog } from '@rattanreel/observability';
import type { LogMoveDecision } from './types';

const SHARE_FRACTION_DIGITS = 3;

/** Records the decisions of guards and controllers in the decision log. */
export default function createMoveDecisionLogger(
  decisions: DecisionLog,
  failureDomain: FailureDomainId,
): LogMoveDecision {
  return ({ decision, move, reason, share }) =>
    decisions.record({
      kind: 'placement',
      decision: `move-${decision}`,
      pool: move.pool,
      failureDomain,
      version: move.to,
      reason: `${reason} (share ${share.toFixed(SHARE_FRACTION_DIGITS)})`,
    });
}
