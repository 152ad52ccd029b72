import type { EntryHostId } from '@rattanreel/core';
import type { HostSummary, PeerAddress } from '../types';

interface SlotOwnersOptions {
  readonly isLarge: boolean;
  readonly self: PeerAddress;
  readonly peers: readonly PeerAddress[];
  readonly reachable: readonly Pick<HostSummary, 'hosts'>[];
  readonly grantingHosts: readonly EntryHostId[];
  readonly ownHosts: number;
  readonly fleetHosts: number;
}

/** Lists the hosts among which the slots of brittle servers are divided. */
export default function listSlotOwners(options: SlotOwnersOptions): readonly EntryHostId[] {
  const { isLarge, self, peers, reachable, grantingHosts, ownHosts, fleetHosts } = options;
  const served = ownHosts + reachable.reduce((sum, { hosts }) => sum + hosts, 0);
  // Without most of the others, this host cannot know who grants their slots.
  return isLarge && served < fleetHosts / 2
    ? [self.entryHost, ...peers.map(({ entryHost }) => entryHost)]
    : grantingHosts;
}
