import type { Clock } from '@rattanreel/core';
import type { OrderOwner } from '@rattanreel/orders';
import type { PeerHistory } from '../types';

/** Longest time for which a claim, and so the memory of an ended incarnation, matters. */
const CLAIM_RETENTION_MS = 24 * 3_600_000;

/**
 * Knows whether every incarnation that may have run a keyed order can still be asked: only when none has
 * ended, as far as this process can tell, for as long as claims are kept.
 */
export default function createPeerHistory(clock: Clock): PeerHistory {
  // Before its start this process has seen nothing, so somebody may have ended then.
  let lastEndedAt = clock.now();

  return {
    handleMembersChanged({ dead }) {
      if (dead.length > 0) {
        lastEndedAt = clock.now();
      }
    },
    view: (peers: readonly OrderOwner[]) => ({
      peers,
      isComplete: clock.now() - lastEndedAt > CLAIM_RETENTION_MS,
    }),
  };
}
