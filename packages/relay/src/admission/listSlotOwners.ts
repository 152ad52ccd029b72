import type { EntryHostId, FailureDomainId } from '@rattanreel/core';
import type { PeerAddress, SlotSharing } from '../types';

interface SlotOwnersOptions {
  readonly isLarge: boolean;
  readonly self: PeerAddress;
  /** The registered hosts other than this one. */
  readonly peers: readonly PeerAddress[];
  readonly grantingHosts: readonly EntryHostId[];
  /** Hosts for which this one schedules, including itself. */
  readonly ownHosts: number;
}

/**
 * Lists among whom the slots of brittle servers are divided: hosts in a small fleet, failure domains
 * in a large one, whose scheduler uses the slots of its domain. Both follow from the registered
 * hosts, so that a partition moves no slot. A host of a large fleet that nobody schedules owns none
 * unless it is alone in its domain: it cannot know which other host uses the slots.
 */
export default function listSlotOwners(
  options: SlotOwnersOptions,
): Pick<SlotSharing, 'slotOwners' | 'ownSlotOwner'> {
  const { isLarge, self, peers, grantingHosts, ownHosts } = options;
  if (!isLarge) {
    return { slotOwners: grantingHosts, ownSlotOwner: self.entryHost };
  }
  const domains = new Set<FailureDomainId>(
    [self, ...peers].map(({ failureDomain }) => failureDomain),
  );
  const hasNeighbours = peers.some(({ failureDomain }) => failureDomain === self.failureDomain);
  const isScheduling = ownHosts > 1 || !hasNeighbours;
  return {
    slotOwners: [...domains],
    ownSlotOwner: isScheduling ? self.failureDomain : undefined,
  };
}
