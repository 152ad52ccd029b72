import type { Milliseconds } from '@rattanreel/core';
import type { FleetRole, PeerAddress, PeerTable } from '../types';

interface LikelyPeersOptions {
  readonly role: FleetRole;
  readonly peers: readonly PeerAddress[];
  readonly peerTable: PeerTable;
  readonly now: Milliseconds;
}

/** Lists the peers that are likely to be reachable. */
export default function listLikelyPeers(options: LikelyPeersOptions): readonly PeerAddress[] {
  const { role, peers, peerTable, now } = options;
  // The hosts of a large fleet hear from few of their peers.
  if (role.isLarge) {
    return peers;
  }
  const reachable = new Set(peerTable.listReachable(now).map(({ entryHost }) => entryHost));
  return peers.filter(({ entryHost }) => reachable.has(entryHost));
}
