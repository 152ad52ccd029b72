import { isReadableName, parseAddress } from '@rattanreel/core';
import type { Logger } from '@rattanreel/observability';
import type { PeerAddress } from '../types';

function isReachablePeer({ entryHost, address, failureDomain }: PeerAddress): boolean {
  return (
    parseAddress(address).kind === 'address' &&
    isReadableName(entryHost) &&
    isReadableName(failureDomain)
  );
}

/** Lists the entries that name a host to which a message could be sent; logs how many do not. */
export default function listReachablePeers(
  peers: readonly PeerAddress[],
  logger: Pick<Logger, 'warn'>,
): readonly PeerAddress[] {
  const reachable = peers.filter(isReachablePeer);
  if (reachable.length < peers.length) {
    logger.warn({ ignored: peers.length - reachable.length }, 'host entries ignored');
  }
  return reachable;
}
