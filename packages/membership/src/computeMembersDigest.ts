import hashText from './hashText';
import type { DomainMember } from './types';

const DIGEST_RANGE = 2 ** 32;

/** Digest of a failure domain's member list, whatever its order. */
export default function computeMembersDigest(members: readonly DomainMember[]): number {
  const lines = members.map(
    ({ entryHost, incarnation, leaving }) => `${entryHost} ${incarnation} ${leaving}`,
  );
  return hashText(lines.sort().join('\n')) % DIGEST_RANGE;
}
