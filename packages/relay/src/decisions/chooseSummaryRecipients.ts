import type { FailureDomainId } from '@rattanreel/core';
import type { PeerAddress } from '../types';
import isLargeFleet from './isLargeFleet';

/**
 * Returns the peers to which a host sends its summaries: all of a small fleet, those of its own
 * failure domain in a large one.
 */
export default function chooseSummaryRecipients(
  peers: readonly PeerAddress[],
  ownDomain: FailureDomainId,
): readonly PeerAddress[] {
  return isLargeFleet(peers.length)
    ? peers.filter(({ failureDomain }) => failureDomain === ownDomain)
    : peers;
}
