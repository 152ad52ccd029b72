import { Debug, fail } from '@rattanreel/core';
import type { Milliseconds } from '@rattanreel/core';
import type { StoredObject } from '@rattanreel/platform';
import toResult from './toResult';
import type { ClaimDecision, ClaimRecord, OwnerAnswer } from './types';

const RETRY_AFTER: Milliseconds = 2_000;

/** Decides how to proceed with an order after its claimant was asked. */
export default function decideOnOwnerAnswer(
  claim: StoredObject<ClaimRecord>,
  answer: OwnerAnswer,
): ClaimDecision {
  switch (answer.kind) {
    case 'result': {
      const { result } = answer;
      return result.kind === 'ok'
        ? { kind: 'finish', result, outcome: { kind: 'answered', answer: result.value } }
        : { kind: 'finish', result };
    }
    case 'givenUp':
      return answer.nonces.includes(claim.value.nonce)
        ? { kind: 'takeOver', version: claim.version }
        : { kind: 'readAgain', otherwise: toResult({ kind: 'mayHaveRun' }) };
    case 'unknown':
      return { kind: 'readAgain', otherwise: toResult({ kind: 'mayHaveRun' }) };
    case 'gone': {
      const otherwise = fail({ kind: 'claimantGone', execution: 'may-have-run' } as const);
      return { kind: 'readAgain', otherwise };
    }
    case 'unreachable': {
      const otherwise = fail({
        kind: 'dispatchInDoubt',
        execution: 'may-have-run',
        reason: 'ownerUnreachable',
        retryAfter: RETRY_AFTER,
      } as const);
      return { kind: 'readAgain', otherwise };
    }
    default:
      return Debug.assertNever(answer);
  }
}
