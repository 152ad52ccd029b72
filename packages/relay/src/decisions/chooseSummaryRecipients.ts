import type { FailureDomainId } from '@rattanreel/core';
import type { PeerAddress } from '../types';
import isLargeFleet from './isLargeFleet';

/** The hosts that a host tells what it does: all of a small fleet, those of its failure domain in a large one. */
export default function chooseSummaryRecipients(
  peers: readonly PeerAddress[],
  ownDomain: FailureDomainId,
): readonly PeerAddress[] {
  return isLargeFleet(peers.length)
    ? peers.filter(({ failureDomain }) => failureDomain === ownDomain)
    : peers;
}
