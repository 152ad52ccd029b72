import type { FailureDomainId } from '@rattanreel/core';
import type { CancelRequested, MoveVeto } from './types';

/** The veto that an operator's cancellation is in the failure domain that hears it. */
export default function createOperatorVeto(
  { move, operator }: CancelRequested,
  failureDomain: FailureDomainId,
): MoveVeto {
  const detail = `cancelled by ${operator}`;
  const reason = { ground: 'operator' as const, route: '', tier: 0, failureDomain, detail };
  return { kind: 'moveVeto', move, reason };
}
