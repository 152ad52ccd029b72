import type { EntryHostId, Milliseconds } from '@rattanreel/core';
import isLate from '../lateness/isLate';
import type { PeerTable } from '../types';

/** Lists the reachable peers whose event loop is late. */
export default function listLatePeers(
  peerTable: Pick<PeerTable, 'listReachable'>,
  now: Milliseconds,
): ReadonlySet<EntryHostId> {
  const latePeers = peerTable.listReachable(now).filter(isLate);
  return new Set(latePeers.map(({ entryHost }) => entryHost));
}
