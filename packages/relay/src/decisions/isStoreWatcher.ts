import type { EntryHostId, FailureDomainId, Milliseconds } from '@rattanreel/core';
import type { PeerAddress } from '../types';
import chooseRendezvousHosts from './chooseRendezvousHosts';
import isLargeFleet from './isLargeFleet';

/** Hosts of a failure domain that watch the store; two, so that one may fail. */
const WATCHERS_PER_DOMAIN = 2;
/** Time for which a new host waits for state from its peers before it watches the store itself. */
const INITIAL_STATE_TIMEOUT: Milliseconds = 3_000;

interface StoreWatcherOptions {
  readonly ownName: EntryHostId;
  readonly ownDomain: FailureDomainId;
  /** Undefined until the hosts have been listed. */
  readonly peers: readonly PeerAddress[] | undefined;
  /** Reachable hosts with their failure domains. */
  readonly reachablePeers: readonly Pick<PeerAddress, 'entryHost' | 'failureDomain'>[];
  /** Whether this host knows a configuration and the backend servers. */
  readonly hasClusterState: boolean;
  /** Time since this process started. */
  readonly age: Milliseconds;
}

/**
 * Returns whether this host watches the platform's store. In a small fleet every host does. In a
 * large one, two hosts of each failure domain do and inform the others, so that the number of store
 * calls grows with the number of domains rather than hosts.
 */
export default function isStoreWatcher(options: StoreWatcherOptions): boolean {
  const { ownName, ownDomain, peers, reachablePeers, hasClusterState: isStateKnown, age } = options;
  if (peers === undefined || (!isStateKnown && age > INITIAL_STATE_TIMEOUT)) {
    return age > INITIAL_STATE_TIMEOUT;
  }
  if (!isLargeFleet(peers.length)) {
    return true;
  }
  const sameDomainHosts = reachablePeers
    .filter(({ failureDomain }) => failureDomain === ownDomain)
    .map(({ entryHost }) => entryHost);
  return chooseRendezvousHosts(
    'store',
    [ownName, ...sameDomainHosts],
    WATCHERS_PER_DOMAIN,
  ).includes(ownName);
}
