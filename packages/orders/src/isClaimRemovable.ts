import type { Milliseconds } from '@rattanreel/core';
import type { ClaimRecord } from './types';

/** Tolerates wall clocks that differ between hosts. */
const MAXIMUM_CLOCK_SKEW: Milliseconds = 3_600_000;
/** A claim without a recorded outcome is kept longer, as its claimant may be paused or partitioned. */
const UNRECORDED_OUTCOME_GRACE: Milliseconds = 24 * 3_600_000;

/** Whether a claim is past its retention and the grace for clock skew and unrecorded outcomes. */
export default function isClaimRemovable(claim: ClaimRecord, now: Date): boolean {
  const grace = claim.outcome === undefined ? UNRECORDED_OUTCOME_GRACE : 0;
  return now.getTime() > Date.parse(claim.expiresAt) + MAXIMUM_CLOCK_SKEW + grace;
}
