import type { FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { MembershipContext } from './types';

/**
 * Returns the time between two summaries of this domain to another one; it grows with the number of
 * domains.
 */
export default function getSummaryInterval(
  { policy }: MembershipContext,
  otherDomains: readonly FailureDomainId[],
): Milliseconds {
  return policy.summaryInterval + policy.summaryIntervalPerDomain * otherDomains.length;
}
