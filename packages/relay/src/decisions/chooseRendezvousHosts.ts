import { chooseOwners } from '@rattanreel/membership';
import type { EntryHostId } from '@rattanreel/core';

/** The rendezvous choice of `count` hosts for a key, the same on every host. */
export default function chooseRendezvousHosts(
  key: string,
  hosts: readonly EntryHostId[],
  count: number,
): readonly EntryHostId[] {
  const members = hosts.map((entryHost) => ({ entryHost }));
  return chooseOwners(key, members, count).map(({ entryHost }) => entryHost);
}
