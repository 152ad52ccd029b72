import { Debug, fail } from '@rattanreel/core';
import type { EntryHostId, Incarnation } from '@rattanreel/core';
import type { StoredObject } from '@rattanreel/platform';
import toResult from './toResult';
import type { ClaimDecision, ClaimRecord } from './types';

interface ClaimContext {
  readonly claim: StoredObject<ClaimRecord>;
  readonly requestDigest: string;
  readonly entryHost: EntryHostId;
  readonly incarnation: Incarnation;
  /** Nonces under which this incarnation never dispatches. */
  readonly givenUpNonces: readonly string[];
}

/** Decides how to proceed with an order for which the store holds a claim of another attempt. */
export default function decideOnClaim(context: ClaimContext): ClaimDecision {
  const { claim } = context;
  const { claimant, incarnation, nonce, outcome, requestDigest } = claim.value;
  if (requestDigest !== context.requestDigest) {
    const result = fail({ kind: 'keyReusedForAnotherRequest', execution: 'not-run' } as const);
    return { kind: 'finish', result };
  }
  switch (outcome?.kind) {
    case 'answered':
    case 'mayHaveRun':
      return { kind: 'finish', result: toResult(outcome), outcome };
    case 'notRun':
      return { kind: 'takeOver', version: claim.version };
    case undefined:
      break;
    default:
      return Debug.assertNever(outcome);
  }
  if (claimant !== context.entryHost || incarnation !== context.incarnation) {
    return { kind: 'askOwner', owner: { entryHost: claimant, incarnation, nonce } };
  }
  return context.givenUpNonces.includes(nonce)
    ? { kind: 'takeOver', version: claim.version }
    : { kind: 'finish', result: toResult({ kind: 'mayHaveRun' }) };
}
