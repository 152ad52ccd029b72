import type { EntryHostId } from '@rattanreel/core';
import hashText from './hashText';

interface Candidate {
  readonly entryHost: EntryHostId;
}

/**
 * Returns the `count` owners of a key by rendezvous hashing, in order of preference. When a member
 * joins or leaves, only the keys that it owns change their owner, about one in as many as there are
 * members.
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
