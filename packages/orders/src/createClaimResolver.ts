import { Debug } from '@rattanreel/core';
import type { StoredObject } from '@rattanreel/platform';
import claimKind from './claimKind';
import decideOnClaim from './decideOnClaim';
import decideOnOwnerAnswer from './decideOnOwnerAnswer';
import toResult from './toResult';
import type {
  ClaimDecision,
  ClaimRecord,
  OrderExecutorOptions,
  OrderEntry,
  OrderRequest,
  OrderResult,
} from './types';

type FinalDecision = Extract<ClaimDecision, { kind: 'finish' | 'takeOver' }>;

/** Determines from a claim and its claimant whether an attempt may take the claim over. */
type ResolveClaim = (
  entry: OrderEntry,
  order: OrderRequest,
  claim: StoredObject<ClaimRecord>,
) => Promise<FinalDecision>;

/** Creates the resolver of claims that other attempts hold. */
export default function createClaimResolver(options: OrderExecutorOptions): ResolveClaim {
  const { entryHost, incarnation, store, askOwner } = options;

  function decide(entry: OrderEntry, claim: StoredObject<ClaimRecord>): ClaimDecision {
    const { requestDigest, givenUpNonces } = entry;
    return decideOnClaim({ claim, requestDigest, entryHost, incarnation, givenUpNonces });
  }

  async function readAgain(
    entry: OrderEntry,
    previous: StoredObject<ClaimRecord>,
    otherwise: OrderResult,
  ): Promise<FinalDecision> {
    const reread = await store.get<ClaimRecord>(claimKind, entry.name);
    if (reread.kind === 'error' || reread.value.version === previous.version) {
      return { kind: 'finish', result: otherwise };
    }
    const decision = decide(entry, reread.value);
    return decision.kind === 'finish' || decision.kind === 'takeOver'
      ? decision
      : { kind: 'finish', result: otherwise };
  }

  return async (entry, order, claim) => {
    let decision = decide(entry, claim);
    if (decision.kind === 'askOwner') {
      options.onDecision?.({ kind: 'askedOwner', order: entry.name });
      decision = decideOnOwnerAnswer(claim, await askOwner(decision.owner, order));
    }
    switch (decision.kind) {
      case 'finish':
      case 'takeOver':
        return decision;
      case 'readAgain':
        return readAgain(entry, claim, decision.otherwise);
      case 'askOwner':
        // An owner's answer never refers to another owner.
        return { kind: 'finish', result: toResult({ kind: 'mayHaveRun' }) };
      default:
        return Debug.assertNever(decision);
    }
  };
}
