import { chooseOwners } from '@rattanreel/membership';
import type { EntryHostId } from '@rattanreel/core';

/** Selects `count` hosts for a key by rendezvous hashing, so that every host selects the same. */
export default function chooseRendezvousHosts(
  key: string,
  hosts: readonly EntryHostId[],
  count: number,
): readonly EntryHostId[] {
  const members = hosts.map((entryHost) => ({ entryHost }));
  return chooseOwners(key, members, count).map(({ entryHost }) => entryHost);
}
