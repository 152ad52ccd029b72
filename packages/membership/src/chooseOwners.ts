import type { EntryHostId } from '@rattanreel/core';
import hashText from './hashText';

interface Candidate {
  readonly entryHost: EntryHostId;
}

/**
 * The `count` owners of a key by rendezvous hashing, the first owner first. When a member comes or
 * goes, only the keys change hands that it owns: one in as many as there are members.
 */
export default function chooseOwners<Member extends Candidate>(
  key: string,
  members: readonly Member[],
  count: number,
): readonly Member[] {
  return members
    .map((member) => ({ member, weight: hashText(`${key}\n${member.entryHost}`) }))
    .sort(
      (left, right) =>
        right.weight - left.weight || (left.member.entryHost < right.member.entryHost ? -1 : 1),
    )
    .slice(0, count)
    .map(({ member }) => member);
}
