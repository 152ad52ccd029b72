import hashText from './hashText';
import type { DomainMember } from './types';

const DIGEST_RANGE = 2 ** 32;

/**
 * Computes a digest of a failure domain's member list that does not depend on the order of members.
 */
export default function computeMembersDigest(members: readonly DomainMember[]): number {
  const lines = members.map(
    ({ entryHost, incarnation, leaving }) => `${entryHost} ${incarnation} ${leaving}`,
  );
  return hashText(lines.sort().join('\n')) % DIGEST_RANGE;
}
