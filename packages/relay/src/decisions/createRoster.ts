import type { EntryHostId } from '@rattanreel/core';
import type { PeerAddress } from '../types';

interface Roster {
  /** Replaces the list; returns whether it is newer and differs. */
  replace(hosts: readonly PeerAddress[], version: number): boolean;
  /** Adds or updates one host; returns whether the list changed. */
  upsert(host: PeerAddress): boolean;
  /** Undefined until the hosts have been listed. */
  readonly hosts: readonly PeerAddress[] | undefined;
  /** Version of the list, kept while it stays the same; -1 before the first one. */
  readonly version: number;
  has(host: EntryHostId): boolean;
}

/** Holds the registered hosts. */
export default function createRoster(): Roster {
  let hosts: readonly PeerAddress[] | undefined;
  let version = -1;

  function replace(next: readonly PeerAddress[], nextVersion: number): boolean {
    const sorted = [...next].sort((left, right) => (left.entryHost < right.entryHost ? -1 : 1));
    if (nextVersion < version || JSON.stringify(sorted) === JSON.stringify(hosts)) {
      return false;
    }
    hosts = sorted;
    version = nextVersion;
    return true;
  }

  return {
    get hosts() {
      return hosts;
    },
    get version() {
      return version;
    },
    has: (host) => (hosts ?? []).some(({ entryHost }) => entryHost === host),
    replace,
    upsert({ entryHost, address, failureDomain, capacity }) {
      const known = (hosts ?? []).find((peer) => peer.entryHost === entryHost);
      if (known?.address === address) {
        return false;
      }
      const others = (hosts ?? []).filter((peer) => peer.entryHost !== entryHost);
      return replace([...others, { entryHost, address, failureDomain, capacity }], version);
    },
  };
}
