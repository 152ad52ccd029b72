import type { EntryHostId } from '@rattanreel/core';
import chooseOwners from './chooseOwners';

/**
 * Returns the owner of a key among `members` by rendezvous hashing, or undefined when there are no
 * members.
 */
export default function chooseOwner<Member extends { readonly entryHost: EntryHostId }>(
  key: string,
  members: readonly Member[],
): Member | undefined {
  return chooseOwners(key, members, 1)[0];
}
