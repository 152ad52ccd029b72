import type { FailureDomainId } from '@rattanreel/core';
import type { CancelRequested, MoveVeto } from './types';

/** Converts an operator's cancellation to a veto of the failure domain that received it. */
export default function createOperatorVeto(
  { move, operator }: CancelRequested,
  failureDomain: FailureDomainId,
): MoveVeto {
  const detail = `cancelled by ${operator}`;
  const reason = { ground: 'operator' as const, route: '', tier: 0, failureDomain, detail };
  return { kind: 'moveVeto', move, reason };
}
