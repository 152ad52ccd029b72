import type { EntryHostId } from '@rattanreel/core';
import chooseOwners from './chooseOwners';

/** The owner of a key among members by rendezvous hashing; undefined when there are none. */
export default function chooseOwner<Member extends { readonly entryHost: EntryHostId }>(
  key: string,
  members: readonly Member[],
): Member | undefined {
  return chooseOwners(key, members, 1)[0];
}
