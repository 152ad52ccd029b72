import type { Clock } from '@rattanreel/core';
import type { OrderOwner } from '@rattanreel/orders';
import type { PeerHistory } from '../types';

/** Maximum time for which a claim is relevant, and with it the incarnation that made it. */
const CLAIM_RETENTION_MS = 24 * 3_600_000;

/**
 * Tracks whether every incarnation that may have run a keyed order can still be asked. This holds
 * only if, as far as this process knows, none has ended for as long as claims are kept.
 */
export default function createPeerHistory(clock: Clock): PeerHistory {
  // An incarnation may have ended before this process started and could observe it.
  let lastEndedAt = clock.now();

  return {
    handleMembersChanged({ dead }) {
      if (dead.length > 0) {
        lastEndedAt = clock.now();
      }
    },
    getPeerView: (peers: readonly OrderOwner[]) => ({
      peers,
      isComplete: clock.now() - lastEndedAt > CLAIM_RETENTION_MS,
    }),
  };
}
